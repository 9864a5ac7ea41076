/** Descriptors of opaque requests and answers, and the codec that reads them from headers. */
package io.fireflyshed.protocol.traffic;
