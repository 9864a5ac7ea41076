/** Assembles an entry process for the users' platform. */
package io.fireflyshed.daemon.platform;
