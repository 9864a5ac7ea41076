/** The messages of plain services that take one-time orders and lookups. */
package io.fireflyshed.protocol.desk;
