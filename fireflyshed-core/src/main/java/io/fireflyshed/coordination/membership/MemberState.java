package io.fireflyshed.coordination.membership;

/** The assumed state of an entry process. */
public enum MemberState {
  /** Answers probes. */
  ALIVE,
  /** Did not answer a probe and may still refute the suspicion. */
  SUSPECT,
  /** Did not refute the suspicion in time. */
  DEAD,
  /** Announced that it leaves. */
  LEFT;

  /**
   * Tests whether messages are still sent to the process.
   *
   * @return true if the process is alive or suspected
   */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECT;
  }
}
