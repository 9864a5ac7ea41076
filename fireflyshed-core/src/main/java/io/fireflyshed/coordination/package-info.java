/** The coordination layer: decisions that are pure functions of events and clock readings. */
package io.fireflyshed.coordination;
