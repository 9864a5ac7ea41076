/** Estimates what requests cost and what work the targets still have to do. */
package io.fireflyshed.coordination.cost;
