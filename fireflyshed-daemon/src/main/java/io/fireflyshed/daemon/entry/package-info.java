/** The wiring of an entry process. */
package io.fireflyshed.daemon.entry;
