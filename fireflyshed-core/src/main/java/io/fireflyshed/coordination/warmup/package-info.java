/** Decides which targets are cold and how fast all entries together may use them. */
package io.fireflyshed.coordination.warmup;
