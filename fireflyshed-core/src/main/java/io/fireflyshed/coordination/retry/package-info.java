/** Decides whether and when a failed request is retried. */
package io.fireflyshed.coordination.retry;
