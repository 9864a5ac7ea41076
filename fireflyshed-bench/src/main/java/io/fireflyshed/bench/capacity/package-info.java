/** Measures how the cost of each role grows with its size. */
package io.fireflyshed.bench.capacity;
