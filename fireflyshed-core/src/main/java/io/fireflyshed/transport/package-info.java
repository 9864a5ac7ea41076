/** Transport: servers, clients and the threads that carry traffic. */
package io.fireflyshed.transport;
