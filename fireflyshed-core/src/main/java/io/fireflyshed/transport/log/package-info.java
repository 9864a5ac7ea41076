/** Structured log lines of decisions. */
package io.fireflyshed.transport.log;
