/** The format of the claims and results of one-time orders in the table service. */
package io.fireflyshed.protocol.order;
