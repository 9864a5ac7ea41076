/** The command line and the processes that it starts. */
package io.fireflyshed.daemon;
