/** Decides how one-time orders are claimed, dispatched and recorded. */
package io.fireflyshed.coordination.order;
