/** Passes opaque requests on to targets and their answers back to callers. */
package io.fireflyshed.transport.forward;
