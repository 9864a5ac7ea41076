/** A network of processes in virtual time, for tests and measurements of membership. */
package io.fireflyshed.standins.peer;
