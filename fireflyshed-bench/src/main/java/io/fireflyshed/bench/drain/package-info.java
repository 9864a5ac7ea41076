/** Measures how fast instances that leave stop getting new work. */
package io.fireflyshed.bench.drain;
