/** Runs the formation planner and sends its orders while this entry coordinates its zone. */
package io.fireflyshed.transport.formation;
