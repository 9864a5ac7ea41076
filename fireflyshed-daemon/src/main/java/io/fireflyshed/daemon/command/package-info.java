/** The commands of the command line. */
package io.fireflyshed.daemon.command;
