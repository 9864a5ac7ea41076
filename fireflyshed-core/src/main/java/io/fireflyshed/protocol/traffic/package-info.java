/**
 * Descriptors of requests and responses whose bodies are opaque, and the codec between headers and
 * descriptors.
 */
package io.fireflyshed.protocol.traffic;
