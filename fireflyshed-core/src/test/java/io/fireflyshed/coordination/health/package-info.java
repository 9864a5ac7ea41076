/** Tests of the judgement of instances. */
package io.fireflyshed.coordination.health;
