/** Measurements, each against a baseline of the same run. */
package io.fireflyshed.bench;
