/** Outcomes of attempts to run a request on a target. */
package io.fireflyshed.coordination.attempt;
