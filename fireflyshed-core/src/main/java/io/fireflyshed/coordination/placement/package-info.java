/**
 * Chooses the target of each request and notices targets that stand still.
 *
 * <p>The load that it answers: requests of very different length for a few replicas, sent by
 * several entries that don't see each other's requests, while replicas come and go.
 */
package io.fireflyshed.coordination.placement;
