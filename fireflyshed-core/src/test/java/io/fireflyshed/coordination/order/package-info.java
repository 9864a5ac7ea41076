/** Tests of the decisions on one-time orders. */
package io.fireflyshed.coordination.order;
