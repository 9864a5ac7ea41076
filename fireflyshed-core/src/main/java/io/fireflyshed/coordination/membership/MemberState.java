package io.fireflyshed.coordination.membership;

/** Names what is believed of a process. */
public enum MemberState {
  /** Answers probes. */
  ALIVE,
  /** Did not answer a probe and has some time left to object. */
  SUSPECT,
  /** Did not object in time. */
  DEAD,
  /** Said that it leaves. */
  LEFT;

  /**
   * Tests whether messages are still sent to the process.
   *
   * @return true if it is alive or only suspected
   */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECT;
  }
}
