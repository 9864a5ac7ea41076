/** Tests of the measurement of requests that crash replicas. */
package io.fireflyshed.bench.poison;
