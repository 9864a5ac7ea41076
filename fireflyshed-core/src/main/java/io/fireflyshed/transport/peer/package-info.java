/** Communication between entry processes: frames over TCP, membership, notices and questions. */
package io.fireflyshed.transport.peer;
