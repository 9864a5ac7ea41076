/** The chain of accepted configurations. */
package io.fireflyshed.state.configuration;
