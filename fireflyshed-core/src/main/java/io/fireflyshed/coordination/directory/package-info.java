/** Tracks the targets that the registry lists, also across outages of the registry. */
package io.fireflyshed.coordination.directory;
