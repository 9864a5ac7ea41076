/** An HTTP client for calls between processes, and a reader of request bodies. */
package io.fireflyshed.transport.http;
