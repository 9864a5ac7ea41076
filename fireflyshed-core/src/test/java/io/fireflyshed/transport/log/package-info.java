/** Tests of the logs. */
package io.fireflyshed.transport.log;
