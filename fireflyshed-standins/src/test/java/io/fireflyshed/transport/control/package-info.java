/** Tests of the control thread under faults, on fakes and a virtual clock. */
package io.fireflyshed.transport.control;
