/** The HTTP client of plain services. */
package io.fireflyshed.transport.desk;
