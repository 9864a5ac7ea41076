package io.fireflyshed.faults;

/** Names a fault that a schedule can act out. */
public enum FaultKind {
  /** An entry process dies and is replaced by a new one. */
  ENTRY_DIES("entry dies"),
  /** An entry process pauses, perhaps past its lease, and goes on unaware. */
  ENTRY_PAUSES("entry pauses"),
  /** A member of a replica dies and comes back. */
  MEMBER_DIES("member dies"),
  /** A member of a replica pauses. */
  MEMBER_PAUSES("member pauses"),
  /** A member of a replica restarts several times in a row. */
  MEMBER_FLAPS("member comes and goes"),
  /** An instance announces that it leaves. */
  MEMBER_LEAVES("member leaves"),
  /** All instances of a fabric domain fail together. */
  DOMAIN_DARK("fabric domain dark"),
  /** Processes are cut off from each other or from targets, perhaps in one direction only. */
  PEERS_CUT("partition"),
  /** One process or zone is cut off from the platform. */
  PLATFORM_CUT("platform cut off"),
  /** The platform's store refuses requests without effect. */
  STORE_DOWN("store down"),
  /** The platform's store answers late. */
  STORE_SLOW("store slow"),
  /** A request takes effect and its answer is lost, or it takes effect much later. */
  ANSWER_LOST("effect, answer lost"),
  /** A target refuses a request without running it. */
  TARGET_REFUSES("target refuses"),
  /** A target breaks off in the middle of an answer. */
  TARGET_BREAKS("target breaks off"),
  /** A target stops to send without closing the connection. */
  TARGET_STALLS("target stalls"),
  /** Events or notices come twice, late or out of order, or are lost. */
  EVENTS_DISORDERED("events late, twice or lost"),
  /** A caller leaves before its answer is complete. */
  CALLER_LEAVES("caller leaves"),
  /** Two operators change the same thing at once. */
  TWO_OPERATORS("two operators"),
  /** An order to an engine arrives late; some engines ignore fencing numbers. */
  ORDER_LATE("late order, fencing ignored");

  private final String label;

  FaultKind(String label) {
    this.label = label;
  }

  /** Gets the words for a table. */
  public String getLabel() {
    return label;
  }
}
