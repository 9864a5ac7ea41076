/** Stand-ins for the table service, the object store and the instance list. */
package io.fireflyshed.standins.platform;
