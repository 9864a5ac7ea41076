package io.fireflyshed.bench.capacity;

import io.fireflyshed.coordination.assignment.AssignmentPhase;
import io.fireflyshed.coordination.assignment.StoredAssignment;
import io.fireflyshed.coordination.drain.DrainTracker;
import io.fireflyshed.coordination.gate.ServingGate;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.replica.ServingView;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Makes the state of a zone of a given size. */
final class CapacityFixtures {

  /** The members of each replica, as at the letter's size with eight accelerators a replica. */
  static final int MEMBERS_PER_REPLICA = 8;

  static final ServiceName SERVICE = new ServiceName("cards");

  private static final Duration MAX_AGE = Duration.ofSeconds(2);
  private static final AvailabilityZone ZONE = new AvailabilityZone("zone-a");

  private CapacityFixtures() {}

  static Assignment newAssignment(int number, int members) {
    List<InstanceRecord> records = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      records.add(
          new InstanceRecord(
              new InstanceId("zone-a-d" + number + "-i" + i),
              InetSocketAddress.createUnresolved("10.0.0.1", 8000),
              ZONE,
              new FabricDomain("zone-a-d" + number),
              1,
              false,
              Optional.empty()));
    }
    return new Assignment(new ReplicaId("cards.zone-a." + number), SERVICE, 1, records);
  }

  static StoredAssignment newStored(Assignment assignment) {
    return new StoredAssignment(assignment, "cards-1", AssignmentPhase.ACTIVE, Optional.empty());
  }

  static List<Assignment> newAssignments(int replicas) {
    List<Assignment> assignments = new ArrayList<>();
    for (int i = 0; i < replicas; i++) {
      assignments.add(newAssignment(i, MEMBERS_PER_REPLICA));
    }
    return assignments;
  }

  static ServingGate newGate(List<Assignment> assignments) {
    ServingGate gate = new ServingGate(MAX_AGE, new DrainTracker());
    for (Assignment assignment : assignments) {
      for (InstanceRecord member : assignment.members()) {
        gate.onHealth(
            new MemberHealth(
                member.id(),
                new BootId("boot-" + member.id()),
                Optional.of(assignment.id()),
                assignment.generation(),
                true,
                false),
            0);
      }
    }
    return gate;
  }

  static ServingView newView(ServingGate gate, List<Assignment> assignments) {
    List<OpenReplica> open = new ArrayList<>();
    for (Assignment assignment : assignments) {
      gate.getOpen(assignment, 1).ifPresent(open::add);
    }
    ModelServiceSpec spec =
        new ModelServiceSpec(SERVICE, "cards-1", MEMBERS_PER_REPLICA, assignments.size());
    return new ServingView(Map.of(SERVICE, spec), Map.of(SERVICE, open), Map.of());
  }
}
