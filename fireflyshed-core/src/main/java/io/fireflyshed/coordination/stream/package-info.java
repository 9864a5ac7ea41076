/** Assembles a complete and ordered answer from the streams of several attempts. */
package io.fireflyshed.coordination.stream;
