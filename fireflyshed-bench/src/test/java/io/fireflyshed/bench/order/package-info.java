/** Tests of the measurement of one-time orders. */
package io.fireflyshed.bench.order;
