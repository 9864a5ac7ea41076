package io.fireflyshed.transport.control;

import io.fireflyshed.coordination.assignment.ReplicaPlanner;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceList;
import io.fireflyshed.state.peer.PeerBus;
import io.fireflyshed.state.table.TableService;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Holds what the control thread works with.
 *
 * @param engine talks to engines, not null
 * @param instanceList the platform's list, not null
 * @param table the table service, not null
 * @param peers carries notices between entries, not null
 * @param planner proposes what the coordinator does, not null
 * @param clock the clock of this process, not null
 * @param random makes the ids of attempts, not null
 */
public record ControlParts(
    ModelEngine engine,
    InstanceList instanceList,
    TableService table,
    PeerBus peers,
    ReplicaPlanner planner,
    MonotonicClock clock,
    UniformRandomProvider random) {

  /** Checks the parts of the record. */
  public ControlParts {
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(instanceList, "instanceList");
    Objects.requireNonNull(table, "table");
    Objects.requireNonNull(peers, "peers");
    Objects.requireNonNull(planner, "planner");
    Objects.requireNonNull(clock, "clock");
    Objects.requireNonNull(random, "random");
  }
}
