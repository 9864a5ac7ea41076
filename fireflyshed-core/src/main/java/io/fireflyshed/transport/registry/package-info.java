/** Follows the platform's list of targets and the accepted traffic configuration. */
package io.fireflyshed.transport.registry;
