/** Applies, follows and serves the configuration. */
package io.fireflyshed.transport.configuration;
