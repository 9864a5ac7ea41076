/** Watches the platform's registry of targets and the accepted traffic configuration. */
package io.fireflyshed.transport.registry;
