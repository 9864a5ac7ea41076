/** The path of a caller's request through an entry. */
package io.fireflyshed.transport.entry;
