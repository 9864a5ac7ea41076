package io.fireflyshed.transport.peer;

import io.fireflyshed.coordination.membership.MemberRecord;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.PeerId;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** An immutable picture of the live peers for the threads that carry traffic. */
final class PeerView {

  private final Map<PeerId, MemberRecord> members;
  private final Map<AvailabilityZone, List<PeerId>> byZone = new TreeMap<>();

  PeerView(Map<PeerId, MemberRecord> members) {
    this.members = Map.copyOf(members);
    new TreeMap<>(members)
        .values()
        .forEach(r -> byZone.computeIfAbsent(r.zone(), z -> new ArrayList<>()).add(r.id()));
  }

  Map<PeerId, MemberRecord> members() {
    return members;
  }

  Set<AvailabilityZone> getZones() {
    return Collections.unmodifiableSet(byZone.keySet());
  }

  List<PeerId> getZone(AvailabilityZone zone) {
    return Collections.unmodifiableList(byZone.getOrDefault(zone, List.of()));
  }

  List<PeerId> getOthers(AvailabilityZone zone) {
    List<PeerId> others = new ArrayList<>();
    byZone.forEach(
        (z, peers) -> {
          if (!z.equals(zone)) {
            others.addAll(peers);
          }
        });
    return others;
  }

  Optional<InetSocketAddress> findAddress(PeerId peer) {
    return Optional.ofNullable(members.get(peer)).map(r -> toAddress(r.address()));
  }

  static InetSocketAddress toAddress(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
