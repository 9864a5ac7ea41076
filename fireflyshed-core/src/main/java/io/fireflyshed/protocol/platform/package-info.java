/** The formats of the data that the platform's services store and exchange. */
package io.fireflyshed.protocol.platform;
