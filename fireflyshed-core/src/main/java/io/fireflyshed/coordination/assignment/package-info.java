/** Assignment of instances to replicas. */
package io.fireflyshed.coordination.assignment;
