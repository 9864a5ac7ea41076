/** The form in which claims and results of one-time orders are kept in the table service. */
package io.fireflyshed.protocol.order;
