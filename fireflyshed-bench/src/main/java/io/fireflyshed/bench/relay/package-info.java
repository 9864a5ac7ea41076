/** Measures what an entry adds to a stream, beside a bare pass-through and a direct call. */
package io.fireflyshed.bench.relay;
