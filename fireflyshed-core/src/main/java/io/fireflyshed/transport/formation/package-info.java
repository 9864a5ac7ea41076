/** Gives the orders of the formation planner while this entry coordinates its zone. */
package io.fireflyshed.transport.formation;
