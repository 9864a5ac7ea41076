/** The HTTP client of model engines. */
package io.fireflyshed.transport.engine;
