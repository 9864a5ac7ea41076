/** Assembles an entry process from its components. */
package io.fireflyshed.daemon.entry;
