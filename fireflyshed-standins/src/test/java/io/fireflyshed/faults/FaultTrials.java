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

/** Declares the trials of the fault matrix, one per family of operations. */
final class FaultTrials {

  private FaultTrials() {}

  static List<FaultTrial> getAll() {
    return List.of(newReplicas(), newOrders(), newStreams(), newConfiguration());
  }

  private static FaultTrial newReplicas() {
    return new FaultTrial(
        "Replicas",
        "a request goes to a replica only with evidence from every member that is newer than the"
            + " age bound; no instance is in two replicas; all replicas serve again after the last"
            + " fault",
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
        "an order runs at most once; an attempt reported as \"not run\" has not run; a repeated"
            + " order gets the recorded result; every submission to a live entry gets exactly one"
            + " reply",
        List.of(ENTRY_DIES, ENTRY_PAUSES, STORE_DOWN, STORE_SLOW, ANSWER_LOST, TARGET_REFUSES),
        (seed, plan) -> new OrderSchedule(seed, OrderSchedule.Defect.NONE, plan).run());
  }

  private static FaultTrial newStreams() {
    return new FaultTrial(
        "Streams",
        "each caller gets its own complete response or an explicit error; a request reported as"
            + " \"not run\" has not run; no attempt outlives its request",
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
        "the version in force in a process never goes back; no version is in force before it is"
            + " accepted; no accepted version is lost; a process whose lease is valid has every"
            + " version accepted more than one lease duration ago",
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
