/** Tests of the clocks. */
package io.fireflyshed.state.clock;
