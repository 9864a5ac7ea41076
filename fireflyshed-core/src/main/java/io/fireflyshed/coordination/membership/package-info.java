/** Decides which processes are alive, from probes and the word of peers. */
package io.fireflyshed.coordination.membership;
