/** Tracks which instances are leaving and which replicas drain. */
package io.fireflyshed.coordination.drain;
