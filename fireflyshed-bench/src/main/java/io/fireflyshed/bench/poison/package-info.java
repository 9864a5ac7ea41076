/** Measurement of what one request that crashes replicas costs. */
package io.fireflyshed.bench.poison;
