/** Tests of the completion protocol. */
package io.fireflyshed.protocol.completion;
