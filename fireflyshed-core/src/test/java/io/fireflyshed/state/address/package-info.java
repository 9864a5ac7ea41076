/** Tests of network addresses. */
package io.fireflyshed.state.address;
