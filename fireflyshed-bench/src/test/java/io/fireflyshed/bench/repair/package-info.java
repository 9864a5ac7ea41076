/** Tests that compare the planner with a baseline and with the best plan. */
package io.fireflyshed.bench.repair;
