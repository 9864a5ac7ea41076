package io.fireflyshed.faults;

import static io.fireflyshed.faults.FaultKind.ANSWER_LOST;
import static io.fireflyshed.faults.FaultKind.CALLER_LEAVES;
import static io.fireflyshed.faults.FaultKind.DOMAIN_DARK;
import static io.fireflyshed.faults.FaultKind.ENTRY_DIES;
import static io.fireflyshed.faults.FaultKind.ENTRY_PAUSES;
import static io.fireflyshed.faults.FaultKind.EVENTS_DISORDERED;
import static io.fireflyshed.faults.FaultKind.MEMBER_DIES;
import static io.fireflyshed.faults.FaultKind.MEMBER_FLAPS;
import static io.fireflyshed.faults.FaultKind.MEMBER_LEAVES;
import static io.fireflyshed.faults.FaultKind.MEMBER_PAUSES;
import static io.fireflyshed.faults.FaultKind.ORDER_LATE;
import static io.fireflyshed.faults.FaultKind.PEERS_CUT;
import static io.fireflyshed.faults.FaultKind.PLATFORM_CUT;
import static io.fireflyshed.faults.FaultKind.STORE_DOWN;
import static io.fireflyshed.faults.FaultKind.STORE_SLOW;
import static io.fireflyshed.faults.FaultKind.TARGET_BREAKS;
import static io.fireflyshed.faults.FaultKind.TARGET_REFUSES;
import static io.fireflyshed.faults.FaultKind.TARGET_STALLS;
import static io.fireflyshed.faults.FaultKind.TWO_OPERATORS;

import io.fireflyshed.coordination.configuration.ConfigurationSchedule;
import io.fireflyshed.coordination.order.OrderSchedule;
import io.fireflyshed.transport.control.FaultSchedule;
import io.fireflyshed.transport.entry.CompletionSchedule;
import java.util.List;

/** Lists the families of operations that the matrix walks. */
final class FaultTrials {

  private FaultTrials() {}

  static List<FaultTrial> getAll() {
    return List.of(newReplicas(), newOrders(), newStreams(), newConfiguration());
  }

  private static FaultTrial newReplicas() {
    return new FaultTrial(
        "Replicas",
        "no request goes to a replica without evidence, newer than the bound, from every member; no"
            + " instance is in two replicas; all replicas serve again after the last fault",
        List.of(
            MEMBER_DIES,
            MEMBER_PAUSES,
            MEMBER_FLAPS,
            MEMBER_LEAVES,
            DOMAIN_DARK,
            ENTRY_PAUSES,
            PEERS_CUT,
            PLATFORM_CUT,
            STORE_DOWN,
            STORE_SLOW,
            ANSWER_LOST,
            ORDER_LATE),
        (seed, plan) ->
            new FaultSchedule(seed, FaultSchedule.Variant.REPAIR, plan)
                .run()
                .violation()
                .map(List::of)
                .orElse(List.of()));
  }

  private static FaultTrial newOrders() {
    return new FaultTrial(
        "Orders",
        "an order runs at most once; \"not run\" is true; a recorded result is repeated; every"
            + " submission to a live entry is answered once",
        List.of(ENTRY_DIES, ENTRY_PAUSES, STORE_DOWN, STORE_SLOW, ANSWER_LOST, TARGET_REFUSES),
        (seed, plan) -> new OrderSchedule(seed, OrderSchedule.Defect.NONE, plan).run());
  }

  private static FaultTrial newStreams() {
    return new FaultTrial(
        "Streams",
        "each caller gets its own answer, whole, or an explicit error; \"not run\" is true; no"
            + " attempt goes on after its request ended",
        List.of(
            MEMBER_DIES,
            TARGET_REFUSES,
            ANSWER_LOST,
            TARGET_BREAKS,
            TARGET_STALLS,
            EVENTS_DISORDERED,
            CALLER_LEAVES),
        (seed, plan) -> new CompletionSchedule(seed, CompletionSchedule.Defect.NONE, plan).run());
  }

  private static FaultTrial newConfiguration() {
    return new FaultTrial(
        "Configuration",
        "no version goes back in a process; none is in force before it was accepted; no accepted"
            + " one is lost; a process whose lease holds has every version that was accepted more"
            + " than a lease length ago",
        List.of(
            ENTRY_DIES,
            ENTRY_PAUSES,
            PEERS_CUT,
            PLATFORM_CUT,
            STORE_DOWN,
            STORE_SLOW,
            ANSWER_LOST,
            EVENTS_DISORDERED,
            TWO_OPERATORS),
        (seed, plan) -> {
          new ConfigurationSchedule(seed, ConfigurationSchedule.Mistake.NONE, plan).run();
          return List.of();
        });
  }
}
