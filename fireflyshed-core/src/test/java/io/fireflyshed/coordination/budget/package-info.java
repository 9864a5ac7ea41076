/** Tests of the memory budget. */
package io.fireflyshed.coordination.budget;
