/** Tests of the HTTP client. */
package io.fireflyshed.transport.http;
