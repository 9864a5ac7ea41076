/** Detects requests that crash the replicas that run them. */
package io.fireflyshed.coordination.poison;
