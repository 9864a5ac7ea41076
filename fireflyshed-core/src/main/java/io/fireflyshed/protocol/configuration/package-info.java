/** The format of the configuration: merge rules, schema, validation and codecs. */
package io.fireflyshed.protocol.configuration;
