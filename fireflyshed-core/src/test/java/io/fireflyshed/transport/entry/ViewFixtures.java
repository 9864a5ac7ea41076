package io.fireflyshed.transport.entry;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.replica.ServingView;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Creates the views of tests. */
final class ViewFixtures {

  private ViewFixtures() {}

  /** Creates a view with open replicas of one instance each. */
  static ServingView newView(ServiceName service, int replicas) {
    List<OpenReplica> open = new ArrayList<>();
    for (int i = 0; i < replicas; i++) {
      InstanceRecord head =
          new InstanceRecord(
              new InstanceId("i" + i),
              InetSocketAddress.createUnresolved("127.0.0.1", 1 + i),
              new AvailabilityZone("a"),
              new FabricDomain("f"),
              8,
              false,
              Optional.empty());
      Assignment replica = new Assignment(new ReplicaId("r" + i), service, 1, List.of(head));
      open.add(new OpenReplica(replica, Long.MAX_VALUE));
    }
    return new ServingView(Map.of(), Map.of(service, open), Map.of());
  }
}
