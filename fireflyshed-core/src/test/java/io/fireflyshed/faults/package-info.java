/** The faults that seeded schedules act out, and where they strike. */
package io.fireflyshed.faults;
