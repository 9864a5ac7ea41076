/** Attempts to run a request and their outcomes. */
package io.fireflyshed.coordination.attempt;
