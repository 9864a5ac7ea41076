/** Measures membership. */
package io.fireflyshed.bench.membership;
