/** The gate that lets only whole replicas serve. */
package io.fireflyshed.coordination.gate;
