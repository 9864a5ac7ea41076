/** Tests of the path of a caller's request that need stand-ins. */
package io.fireflyshed.transport.entry;
