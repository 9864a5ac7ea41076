/** Tests of the health of instances. */
package io.fireflyshed.coordination.health;
