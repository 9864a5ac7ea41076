/** The form of the configuration: merge rules, schema, checks and codecs. */
package io.fireflyshed.protocol.configuration;
