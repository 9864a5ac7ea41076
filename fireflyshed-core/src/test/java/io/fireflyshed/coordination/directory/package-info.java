/** Tests of the target directory. */
package io.fireflyshed.coordination.directory;
