/** Tests of the assembly of answers. */
package io.fireflyshed.coordination.stream;
