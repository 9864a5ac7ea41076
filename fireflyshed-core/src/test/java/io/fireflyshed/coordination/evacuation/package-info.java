/** Tests of the evacuation of availability zones. */
package io.fireflyshed.coordination.evacuation;
