/** Stand-ins for the table service, the object store and the instance list of the platform. */
package io.fireflyshed.standins.platform;
