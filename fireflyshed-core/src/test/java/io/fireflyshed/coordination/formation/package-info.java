/** Tests of the package. */
package io.fireflyshed.coordination.formation;
