/** Tests which requests run where callers of several ranks compete. */
package io.fireflyshed.coordination.admission;
