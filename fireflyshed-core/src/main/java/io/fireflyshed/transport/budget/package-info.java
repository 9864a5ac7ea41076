/** Reports the memory budget of a process to its operators. */
package io.fireflyshed.transport.budget;
