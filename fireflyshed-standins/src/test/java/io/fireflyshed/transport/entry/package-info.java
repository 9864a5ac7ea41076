/** Tests of the package of the same name that need stand-ins. */
package io.fireflyshed.transport.entry;
