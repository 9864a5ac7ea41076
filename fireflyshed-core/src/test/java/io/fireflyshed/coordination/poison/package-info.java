/** Tests of the detection of requests that crash replicas. */
package io.fireflyshed.coordination.poison;
