/** Measures the planner of forming and repair on seeded days of outages. */
package io.fireflyshed.bench.repair;
