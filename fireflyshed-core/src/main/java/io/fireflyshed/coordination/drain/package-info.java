/** Which instances leave and which replicas drain. */
package io.fireflyshed.coordination.drain;
