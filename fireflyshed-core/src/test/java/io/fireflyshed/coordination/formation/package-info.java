/** Tests of replica formation, against simulated engines. */
package io.fireflyshed.coordination.formation;
