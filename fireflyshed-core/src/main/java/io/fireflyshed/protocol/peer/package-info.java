/** The frames that entry processes exchange, whose format is defined in peer.proto. */
package io.fireflyshed.protocol.peer;
