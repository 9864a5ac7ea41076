/** Exceptions that name the failed step and the peer concerned. */
package io.fireflyshed.state.error;
