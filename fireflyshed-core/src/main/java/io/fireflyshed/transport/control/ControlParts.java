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
 * The services and strategies that the control thread uses.
 *
 * @param engine the client for requests to engines, not null
 * @param instanceList the instance list of the platform, not null
 * @param table the table service, not null
 * @param peers carries notices between entry processes, not null
 * @param planner proposes the actions of the coordinator, not null
 * @param clock the monotonic clock of this process, not null
 * @param random the source of randomness for the ids of lease attempts, not null
 */
public record ControlParts(
    ModelEngine engine,
    InstanceList instanceList,
    TableService table,
    PeerBus peers,
    ReplicaPlanner planner,
    MonotonicClock clock,
    UniformRandomProvider random) {

  /** Validates the components. */
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
