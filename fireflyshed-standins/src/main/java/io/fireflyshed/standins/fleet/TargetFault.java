package io.fireflyshed.standins.fleet;

/** Lists the faults that can be injected into a {@link TargetStandIn}. */
public enum TargetFault {
  /** No fault. */
  NONE,
  /** Requests are refused without being run. */
  FULL,
  /** Requests of a plain service are run, but the response is an error. */
  ERROR,
  /** Requests are run, but get no response. */
  ANSWER_LOST,
  /** Responses carry the attempt id of another request. */
  OTHER_ANSWER,
  /** The connection of a stream is closed in the middle of its third event. */
  BREAKS_OFF,
  /** A stream stalls after two events, with its connection open. */
  STANDS_STILL,
  /** No request is run or gets a response. */
  SILENT
}
