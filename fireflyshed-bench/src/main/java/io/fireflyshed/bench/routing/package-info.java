/** Measures routing on a model of engines in simulated time. */
package io.fireflyshed.bench.routing;
