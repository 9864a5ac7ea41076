/** Model services, replicas and the health of their members. */
package io.fireflyshed.state.replica;
