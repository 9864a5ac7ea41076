/** The protocol of the model engines: control messages, load reports and streams. */
package io.fireflyshed.protocol.engine;
