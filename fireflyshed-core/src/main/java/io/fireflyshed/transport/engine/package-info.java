/** HTTP clients of model engines. */
package io.fireflyshed.transport.engine;
