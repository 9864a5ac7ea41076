/**
 * Forms replicas of several models from the engines of a zone and repairs them.
 *
 * <p>The load that it answers: engines are lost every few seconds, for good or for a while, alone
 * or a whole fabric domain at once, while a few empty ones are added. A replica that lost a member
 * serves nobody, so what counts is the time until it is whole again.
 */
package io.fireflyshed.coordination.formation;
