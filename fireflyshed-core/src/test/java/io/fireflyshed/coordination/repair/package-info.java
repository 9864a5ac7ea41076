/** Tests of the decisions on forming and repair. */
package io.fireflyshed.coordination.repair;
