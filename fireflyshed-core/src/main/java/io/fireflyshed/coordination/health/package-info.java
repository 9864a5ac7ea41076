/** Detects instances that fail, pause, answer slowly or flap. */
package io.fireflyshed.coordination.health;
