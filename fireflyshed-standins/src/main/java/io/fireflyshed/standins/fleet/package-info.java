/**
 * Small stand-ins that speak the users' platform's published protocol: its store, engines whose
 * replicas span several instances, and plain services.
 *
 * <p>They keep just enough of the platform's behaviour for tests of the adapter and for trying the
 * product; they don't model load.
 */
package io.fireflyshed.standins.fleet;
