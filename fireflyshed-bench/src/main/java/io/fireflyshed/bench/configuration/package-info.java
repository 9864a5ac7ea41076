/** Measures the spread of configurations. */
package io.fireflyshed.bench.configuration;
