/** Decides how a configuration is accepted and how each process comes to have it in force. */
package io.fireflyshed.coordination.configuration;
