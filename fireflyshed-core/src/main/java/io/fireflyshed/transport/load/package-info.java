/** Polls engines for their load and the changes of their prefix caches. */
package io.fireflyshed.transport.load;
