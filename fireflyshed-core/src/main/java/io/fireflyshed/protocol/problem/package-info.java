/** Problem responses that callers receive instead of an answer. */
package io.fireflyshed.protocol.problem;
