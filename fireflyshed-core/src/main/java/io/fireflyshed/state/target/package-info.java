/** Targets, their membership in replicas, and the reports and orders of engines. */
package io.fireflyshed.state.target;
