package io.fireflyshed.standins.fleet;

/** Names the faults that a target stand-in can play. */
public enum TargetFault {
  /** It answers as it should. */
  NONE,
  /** It rejects requests without running them. */
  FULL,
  /** It runs requests and fails them. */
  ERROR,
  /** It runs requests and does not answer. */
  ANSWER_LOST,
  /** It answers with the answer to another request. */
  OTHER_ANSWER,
  /** It breaks a stream off within an event. */
  BREAKS_OFF,
  /** It stops in the middle of a stream. */
  STANDS_STILL,
  /** It does not answer at all. */
  SILENT
}
