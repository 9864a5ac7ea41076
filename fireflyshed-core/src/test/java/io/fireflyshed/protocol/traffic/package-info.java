/** Tests of the handling of opaque traffic. */
package io.fireflyshed.protocol.traffic;
