/** Decides which listed targets may get requests. */
package io.fireflyshed.coordination.directory;
