/** Tests of leaving instances and draining replicas. */
package io.fireflyshed.coordination.drain;
