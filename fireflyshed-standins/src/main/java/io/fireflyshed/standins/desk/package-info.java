/** Stand-in for a plain service that runs one-time orders. */
package io.fireflyshed.standins.desk;
