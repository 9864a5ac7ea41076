/** Spans for each hop of a request. */
package io.fireflyshed.transport.trace;
