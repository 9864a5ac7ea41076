/**
 * Decides how replicas are formed and repaired: when to wait for a lost member and when to replace
 * it, which loads come first, and how many spare instances to hold.
 */
package io.fireflyshed.coordination.repair;
