/** Tests of decisions on one-time orders. */
package io.fireflyshed.coordination.order;
