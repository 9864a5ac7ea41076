/** The HTTP server of an entry and the handling of callers' requests. */
package io.fireflyshed.transport.entry;
