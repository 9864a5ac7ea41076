/** The HTTP server of an entry and its handlers. */
package io.fireflyshed.transport.http;
