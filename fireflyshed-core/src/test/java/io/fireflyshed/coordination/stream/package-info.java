/** Tests of the order and completeness of answers. */
package io.fireflyshed.coordination.stream;
