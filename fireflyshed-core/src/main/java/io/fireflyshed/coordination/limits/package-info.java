/**
 * Limits of client accounts, divided into shares among the entry processes without a shared store.
 */
package io.fireflyshed.coordination.limits;
