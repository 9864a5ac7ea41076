package io.fireflyshed.standins.engine;

/** Lists the faults that can be injected into an {@link EngineStandIn}. */
public enum EngineFault {
  /** No fault. */
  NONE,
  /** The engine has lost its model and closes every connection without a response. */
  DEAD,
  /** Streams pause until the fault ends; requests received meanwhile never get a response. */
  PAUSED
}
