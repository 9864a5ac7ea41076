/** Simulation of a network of processes in virtual time, for tests and benches of membership. */
package io.fireflyshed.standins.peer;
