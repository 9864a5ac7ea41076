/** Decides what may use the targets of availability zones that the operator evacuates. */
package io.fireflyshed.coordination.evacuation;
