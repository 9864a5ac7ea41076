/** Suspicion of instances that fail, pause, answer late or come and go. */
package io.fireflyshed.coordination.health;
