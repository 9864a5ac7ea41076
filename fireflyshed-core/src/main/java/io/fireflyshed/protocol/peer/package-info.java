/** The frames between entry processes; see peer.proto for their form. */
package io.fireflyshed.protocol.peer;
