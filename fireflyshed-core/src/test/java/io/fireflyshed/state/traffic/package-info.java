/** Tests of the package. */
package io.fireflyshed.state.traffic;
