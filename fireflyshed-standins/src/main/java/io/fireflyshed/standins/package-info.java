/** Stand-ins for the external systems, for tests and trial runs of the product. */
package io.fireflyshed.standins;
