/** Tests of the retry policy and its budget. */
package io.fireflyshed.coordination.retry;
