/** An HTTP client of plain services and hedged lookups. */
package io.fireflyshed.transport.desk;
