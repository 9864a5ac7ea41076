/** Small stand-ins for the systems outside, for tests and for trying the product. */
package io.fireflyshed.standins;
