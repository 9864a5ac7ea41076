/** Communication between entry processes: frames over TCP, membership, notices and relays. */
package io.fireflyshed.transport.peer;
