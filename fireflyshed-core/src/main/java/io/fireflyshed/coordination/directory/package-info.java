/** Tracks the registered targets and entries, also across outages of the platform. */
package io.fireflyshed.coordination.directory;
