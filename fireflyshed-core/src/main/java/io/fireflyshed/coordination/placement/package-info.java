/**
 * Chooses the target of each request and detects targets that stalled.
 *
 * <p>Designed for requests of very different lengths that several entries send to a few replicas.
 * The entries don't see each other's requests, and replicas come and go.
 */
package io.fireflyshed.coordination.placement;
