/** Clocks that are passed in, so that decisions can be tested without waiting. */
package io.fireflyshed.state.clock;
