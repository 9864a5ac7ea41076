/** Tests of the serving gate. */
package io.fireflyshed.coordination.gate;
