/** The faults that seeded schedules inject, and the runs of these schedules. */
package io.fireflyshed.faults;
