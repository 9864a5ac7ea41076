package io.fireflyshed.standins.platform;

/** Names the ways in which a stand-in store can fail. */
public enum StoreFault {
  /** Works as it should. */
  NONE,
  /** Refuses every request without effect. */
  DOWN,
  /** Answers every request late. */
  SLOW,
  /** Applies commits and then loses their answers. */
  LOST_ANSWER
}
