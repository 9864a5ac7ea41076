/** Measures limits of client accounts and fair queueing in simulated time. */
package io.fireflyshed.bench.limits;
