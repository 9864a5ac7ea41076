/** Problem details that callers receive in place of an answer. */
package io.fireflyshed.protocol.problem;
