/** The control thread: probes, gate, assignments and the published serving view. */
package io.fireflyshed.transport.control;
