package io.fireflyshed.standins.fleet;

/** Names the faults that a store stand-in can play. */
public enum StoreFault {
  /** It answers as it should. */
  NONE,
  /** It answers that it is too busy and does nothing. */
  BUSY,
  /** It carries transactions out and does not answer. */
  ANSWER_LOST,
  /** It has dropped its history of changes. */
  HISTORY_DROPPED,
  /** It does not answer at all. */
  SILENT
}
