/** Limits of client accounts, held in shares between processes without a store. */
package io.fireflyshed.coordination.limits;
