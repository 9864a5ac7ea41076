/** Tests of request placement. */
package io.fireflyshed.coordination.placement;
