/** Tests of the package, with an entry against stand-ins of the users' platform. */
package io.fireflyshed.daemon.platform;
