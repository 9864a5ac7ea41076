/** The completion protocol between callers, entry processes and engines. */
package io.fireflyshed.protocol.completion;
