/**
 * Forms replicas of several models from the engines of a zone and repairs them.
 *
 * <p>Designed for engines that are lost every few seconds, for good or for a while, alone or a
 * whole fabric domain at once, while only a few free ones are added. A replica that lost a member
 * serves no requests, so the goal is a short time until it is complete again.
 */
package io.fireflyshed.coordination.formation;
