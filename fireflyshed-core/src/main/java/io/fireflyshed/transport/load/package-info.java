/** Polling of the load and of the prefix caches of engines. */
package io.fireflyshed.transport.load;
