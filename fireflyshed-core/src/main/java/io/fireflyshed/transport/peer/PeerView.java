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

/** An immutable snapshot of the live peers, published to the threads that carry traffic. */
final class PeerView {

  private final Map<PeerId, MemberRecord> members;
  private final Map<AvailabilityZone, List<PeerId>> peersByZone = new TreeMap<>();

  PeerView(Map<PeerId, MemberRecord> members) {
    this.members = Map.copyOf(members);
    new TreeMap<>(members)
        .values()
        .forEach(r -> peersByZone.computeIfAbsent(r.zone(), z -> new ArrayList<>()).add(r.id()));
  }

  Map<PeerId, MemberRecord> members() {
    return members;
  }

  Set<AvailabilityZone> getZones() {
    return Collections.unmodifiableSet(peersByZone.keySet());
  }

  List<PeerId> getPeersInZone(AvailabilityZone zone) {
    return Collections.unmodifiableList(peersByZone.getOrDefault(zone, List.of()));
  }

  List<PeerId> getPeersOutsideZone(AvailabilityZone zone) {
    List<PeerId> others = new ArrayList<>();
    peersByZone.forEach(
        (z, peers) -> {
          if (!z.equals(zone)) {
            others.addAll(peers);
          }
        });
    return others;
  }

  Optional<InetSocketAddress> findAddress(PeerId peer) {
    return Optional.ofNullable(members.get(peer)).map(r -> parseAddress(r.address()));
  }

  static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
