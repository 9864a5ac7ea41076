/** Tests of decisions on requests that crash replicas. */
package io.fireflyshed.coordination.poison;
