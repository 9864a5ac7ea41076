/** Decisions on whether and when a request is tried again. */
package io.fireflyshed.coordination.retry;
