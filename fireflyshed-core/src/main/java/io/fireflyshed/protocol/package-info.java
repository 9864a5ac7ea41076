/** Protocol: messages and their codecs. */
package io.fireflyshed.protocol;
