/** Tests of the estimates of work. */
package io.fireflyshed.coordination.cost;
