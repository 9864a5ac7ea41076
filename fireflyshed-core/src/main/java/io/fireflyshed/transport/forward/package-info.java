/** Forwards opaque requests to targets and returns their responses to the callers. */
package io.fireflyshed.transport.forward;
