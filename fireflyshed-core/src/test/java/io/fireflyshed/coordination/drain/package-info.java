/** Tests of the signs of leaving. */
package io.fireflyshed.coordination.drain;
