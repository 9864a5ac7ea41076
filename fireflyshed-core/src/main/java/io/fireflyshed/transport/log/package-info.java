/** Structured logging. */
package io.fireflyshed.transport.log;
