/** Tests of the control thread under simulated faults, with fakes and a virtual clock. */
package io.fireflyshed.transport.control;
