package io.fireflyshed.state.clock;

/**
 * A clock whose readings never decrease.
 *
 * <p>Readings that were taken in different processes must not be compared. Implementations are
 * thread safe.
 */
@FunctionalInterface
public interface MonotonicClock {

  /**
   * Returns the current reading.
   *
   * @return nanoseconds since an arbitrary origin
   */
  long nanoTime();

  /**
   * Returns the system clock.
   *
   * @return a clock backed by {@link System#nanoTime()}, never null
   */
  static MonotonicClock system() {
    return System::nanoTime;
  }
}
