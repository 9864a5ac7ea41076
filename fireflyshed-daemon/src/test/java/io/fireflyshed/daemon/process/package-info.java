/** Tests of whole processes on loopback: entries and stand-ins, killed, paused and replaced. */
package io.fireflyshed.daemon.process;
