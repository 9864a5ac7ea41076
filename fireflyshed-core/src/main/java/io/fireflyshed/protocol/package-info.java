/** The protocol layer: messages and their codecs. */
package io.fireflyshed.protocol;
