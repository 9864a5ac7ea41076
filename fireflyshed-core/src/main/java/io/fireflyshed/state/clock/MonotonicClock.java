package io.fireflyshed.state.clock;

/**
 * Reads a clock that never goes back and is valid within one process only.
 *
 * <p>Readings of different processes must not be compared. Implementations are thread safe.
 */
@FunctionalInterface
public interface MonotonicClock {

  /**
   * Gets the current reading.
   *
   * @return nanoseconds since an arbitrary origin
   */
  long nanoTime();

  /**
   * Gets the clock of this process.
   *
   * @return a clock backed by {@link System#nanoTime()}, never null
   */
  static MonotonicClock system() {
    return System::nanoTime;
  }
}
