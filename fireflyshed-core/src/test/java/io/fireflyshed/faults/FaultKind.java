package io.fireflyshed.faults;

/** The faults that a schedule can inject. */
public enum FaultKind {
  /** An entry process crashes and is replaced by a new one. */
  ENTRY_DIES("entry dies"),
  /**
   * An entry process pauses, possibly beyond the end of its lease, and resumes without noticing.
   */
  ENTRY_PAUSES("entry pauses"),
  /** A member of a replica crashes and restarts. */
  MEMBER_DIES("member dies"),
  /** A member of a replica pauses. */
  MEMBER_PAUSES("member pauses"),
  /** A member of a replica restarts several times in succession. */
  MEMBER_FLAPS("member comes and goes"),
  /** An instance announces that it is leaving. */
  MEMBER_LEAVES("member leaves"),
  /** All instances of a fabric domain fail at the same time. */
  DOMAIN_DARK("fabric domain dark"),
  /** Processes are partitioned from each other or from targets, possibly in one direction only. */
  PEERS_CUT("partition"),
  /** One process or availability zone cannot reach the platform. */
  PLATFORM_CUT("platform cut off"),
  /** The platform's store refuses requests, which have no effect. */
  STORE_DOWN("store down"),
  /** The platform's store responds late. */
  STORE_SLOW("store slow"),
  /** A request takes effect but its response is lost, or the request takes effect much later. */
  ANSWER_LOST("effect, answer lost"),
  /** A target refuses a request without running it. */
  TARGET_REFUSES("target refuses"),
  /** A target closes the connection in the middle of a response. */
  TARGET_BREAKS("target breaks off"),
  /** A target stops sending without closing the connection. */
  TARGET_STALLS("target stalls"),
  /** Events or notices are duplicated, delayed, reordered or lost. */
  EVENTS_DISORDERED("events late, twice or lost"),
  /** A caller disconnects before its response is complete. */
  CALLER_LEAVES("caller leaves"),
  /** Two operators make concurrent changes to the same data. */
  TWO_OPERATORS("two operators"),
  /** An order to an engine arrives late, and some engines ignore fencing tokens. */
  ORDER_LATE("late order, fencing ignored");

  private final String label;

  FaultKind(String label) {
    this.label = label;
  }

  /** Returns the label of the fault in the fault matrix. */
  public String getLabel() {
    return label;
  }
}
