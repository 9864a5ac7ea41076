/** The control messages of model engines. */
package io.fireflyshed.protocol.engine;
