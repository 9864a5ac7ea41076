/** Decides which requests an entry still takes while it shuts down. */
package io.fireflyshed.coordination.shutdown;
