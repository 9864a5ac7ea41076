/** The fault matrix, which injects faults singly and in pairs at the steps of each operation. */
package io.fireflyshed.faults;
