package io.fireflyshed.standins.engine;

/** Names the ways in which a stand-in engine can fail. */
public enum EngineFault {
  /** Works as it should. */
  NONE,
  /** Closes every connection without an answer and has lost its model. */
  DEAD,
  /** Answers nothing until the fault ends. */
  PAUSED
}
