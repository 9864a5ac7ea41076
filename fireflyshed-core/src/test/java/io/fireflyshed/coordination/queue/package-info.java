/** Tests of the fair queue. */
package io.fireflyshed.coordination.queue;
