/** Decides how the coordinator of an availability zone acquires, renews and releases its lease. */
package io.fireflyshed.coordination.lease;
