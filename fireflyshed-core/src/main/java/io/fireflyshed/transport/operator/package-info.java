/** The HTTP API for operators. */
package io.fireflyshed.transport.operator;
