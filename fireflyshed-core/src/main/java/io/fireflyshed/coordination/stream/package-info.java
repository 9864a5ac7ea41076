/** Order and completeness of the events of an answer that several attempts may contribute to. */
package io.fireflyshed.coordination.stream;
