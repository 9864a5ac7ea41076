/** The protocol of plain services, which handle one-time orders and lookups. */
package io.fireflyshed.protocol.desk;
