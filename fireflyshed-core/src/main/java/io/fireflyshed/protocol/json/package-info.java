/** Shared JSON mapping. */
package io.fireflyshed.protocol.json;
