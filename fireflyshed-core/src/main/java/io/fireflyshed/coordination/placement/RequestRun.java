package io.fireflyshed.coordination.placement;

/**
 * Follows one attempt of a request at a target. Each attempt of a request has its own run, also one
 * that resumes a stream. Times are readings of the monotonic clock. Thread safe.
 */
public interface RequestRun {

  /** A run of which nothing is kept. */
  RequestRun NONE =
      new RequestRun() {
        @Override
        public void onStart(long nowNanos) {}

        @Override
        public void onEvents(int events, long nowNanos) {}

        @Override
        public void onEnd(boolean isComplete, long nowNanos) {}
      };

  /**
   * Records that the request is sent. Only the first call counts.
   *
   * @param nowNanos the current time
   */
  void onStart(long nowNanos);

  /**
   * Records how many events the stream has had.
   *
   * @param events the number of events since the start of the attempt
   * @param nowNanos the current time
   */
  void onEvents(int events, long nowNanos);

  /**
   * Records the end of the attempt, whatever its cause. Only the first call counts.
   *
   * @param isComplete whether the response came whole and successful
   * @param nowNanos the current time
   */
  void onEnd(boolean isComplete, long nowNanos);
}
