/** The fault matrix: every fault alone and in pairs, at every step of each operation. */
package io.fireflyshed.faults;
