/** Tests of the format of the configuration. */
package io.fireflyshed.protocol.configuration;
