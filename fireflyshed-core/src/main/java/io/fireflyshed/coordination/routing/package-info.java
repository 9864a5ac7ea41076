/** Selection of the replica or target that runs a request. */
package io.fireflyshed.coordination.routing;
