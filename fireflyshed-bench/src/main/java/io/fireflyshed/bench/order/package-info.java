/** Measurement of one-time orders against a store that takes a limited number of writes. */
package io.fireflyshed.bench.order;
