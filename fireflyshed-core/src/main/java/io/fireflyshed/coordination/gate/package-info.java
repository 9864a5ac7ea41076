/** Decides which replicas may serve. */
package io.fireflyshed.coordination.gate;
