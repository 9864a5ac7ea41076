/** Stand-in for a plain service that takes one-time orders. */
package io.fireflyshed.standins.desk;
