/** The texts that the platform's services hold and exchange. */
package io.fireflyshed.protocol.platform;
