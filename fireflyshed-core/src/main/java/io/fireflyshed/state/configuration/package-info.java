/** Versions of the configuration history and the contents of a configuration. */
package io.fireflyshed.state.configuration;
