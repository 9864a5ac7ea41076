/** Model services, replicas and their evidence of health. */
package io.fireflyshed.state.replica;
