/** Settings from flags and environment variables. */
package io.fireflyshed.daemon.settings;
