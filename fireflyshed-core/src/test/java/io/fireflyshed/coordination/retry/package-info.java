/** Tests of decisions on retries. */
package io.fireflyshed.coordination.retry;
