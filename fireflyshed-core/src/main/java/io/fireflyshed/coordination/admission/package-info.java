/** Decides which requests run and which are refused where callers of several ranks compete. */
package io.fireflyshed.coordination.admission;
