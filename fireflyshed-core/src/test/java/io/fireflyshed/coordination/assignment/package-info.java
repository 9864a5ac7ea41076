/** Tests of the assignment of instances to replicas. */
package io.fireflyshed.coordination.assignment;
