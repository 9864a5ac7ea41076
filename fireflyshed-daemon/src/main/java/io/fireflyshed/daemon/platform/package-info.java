/** Wires an entry process to the users' platform. */
package io.fireflyshed.daemon.platform;
