/** Decisions on one-time orders: claims, groups of claims, and recorded results. */
package io.fireflyshed.coordination.order;
