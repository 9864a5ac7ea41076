/** The completion protocol between callers, entries and engines. */
package io.fireflyshed.protocol.completion;
