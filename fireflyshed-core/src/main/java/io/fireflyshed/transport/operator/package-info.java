/** The API for operators. */
package io.fireflyshed.transport.operator;
