/** Decides how a configuration version is accepted and how each process puts it in force. */
package io.fireflyshed.coordination.configuration;
