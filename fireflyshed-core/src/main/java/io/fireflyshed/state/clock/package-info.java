/** Injectable clocks, so that time-dependent code can be tested without waiting. */
package io.fireflyshed.state.clock;
