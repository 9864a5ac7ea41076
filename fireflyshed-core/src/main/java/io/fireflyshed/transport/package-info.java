/** The transport layer: servers, clients and the threads that handle traffic. */
package io.fireflyshed.transport;
