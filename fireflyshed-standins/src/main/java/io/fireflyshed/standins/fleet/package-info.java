/**
 * Stand-ins for the users' platform that implement its published protocol: the metadata store,
 * engines whose replicas span several instances, and plain services.
 *
 * <p>They implement only the behaviour that tests of the adapter and trial runs of the product
 * need. They do not model load.
 */
package io.fireflyshed.standins.fleet;
