/**
 * Plans how replicas are formed and repaired: how long to wait for a lost member before replacing
 * it, in which order members load, and how many spare instances to hold.
 */
package io.fireflyshed.coordination.repair;
