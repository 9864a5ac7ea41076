/** Failure detection among the entry processes by probes and by reports from peers. */
package io.fireflyshed.coordination.membership;
