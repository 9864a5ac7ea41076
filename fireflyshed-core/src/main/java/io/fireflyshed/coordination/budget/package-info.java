/** Shares the memory of a process between the messages that it holds. */
package io.fireflyshed.coordination.budget;
