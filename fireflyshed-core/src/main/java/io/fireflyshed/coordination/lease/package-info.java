/** The lease and the epoch of the coordinator of an availability zone. */
package io.fireflyshed.coordination.lease;
