/** Tests of the lease of a zone coordinator. */
package io.fireflyshed.coordination.lease;
