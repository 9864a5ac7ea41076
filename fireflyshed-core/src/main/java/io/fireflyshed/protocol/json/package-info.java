/** Conversion between JSON texts and trees. */
package io.fireflyshed.protocol.json;
