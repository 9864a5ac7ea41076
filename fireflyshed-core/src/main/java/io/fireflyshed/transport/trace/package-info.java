/** Trace spans of requests. */
package io.fireflyshed.transport.trace;
