/** Decides which other entry forwards the requests of an entry that reaches no target. */
package io.fireflyshed.coordination.relay;
