/** Errors that carry the step and the peer at which they arose. */
package io.fireflyshed.state.error;
