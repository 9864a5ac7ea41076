package io.fireflyshed.coordination.membership;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.PeerId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Detects which entry processes are alive. Not thread safe.
 *
 * <p>The protocol is SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol", DSN 2002) with suspicion. In each probe
 * period a process probes one target in its own availability zone and one in the other zones, in
 * shuffled round-robin order. If a target does not answer, the process asks others to ping the
 * target before it suspects the target, so that a connection lost in one direction between two
 * processes does no harm. A process that was paused itself extends its timeouts by the pause and
 * does not suspect others because of it, which is the idea of Lifeguard (A. Dadgar, J. Phillips, J.
 * Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", DSN-W 2018).
 * Changes of member records are piggybacked on the probes, so the load of a process does not depend
 * on the number of members. Dead processes are probed occasionally, so that the two sides of a
 * network partition find each other after it has healed.
 */
public final class SwimMembership {

  private static final int MAX_RANDOM_PEERS = 3;
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final int MAX_UPDATES_PER_MESSAGE = 12;
  private static final int MAX_MEMBERS_PER_SYNC_REPLY = 256;
  private static final int TICKS_PER_PROBE_PERIOD = 2;

  private final MembershipSettings settings;
  private final UniformRandomProvider random;
  private final Map<PeerId, MemberRecord> members = new HashMap<>();
  private final Map<PeerId, Long> stateSinceNanos = new HashMap<>();
  private final UpdateQueue updates = new UpdateQueue();
  private final Map<Long, Probe> probes = new HashMap<>();
  private final Deque<PeerId> sameZoneProbeOrder = new ArrayDeque<>();
  private final Deque<PeerId> otherZoneProbeOrder = new ArrayDeque<>();
  private MemberRecord self;
  private Set<PeerId> livePeers = Set.of();
  private boolean areLivePeersOutdated;
  private long lastTickNanos;
  private long lastSyncNanos;
  private long ticks;
  private long nextSequence = 1;

  /** An unanswered ping, with the process that requested it if it is an indirect probe. */
  private static final class Probe {
    private final PeerId target;
    private final Optional<PeerId> requester;
    private final long requesterSequence;
    private long sentNanos;
    private boolean isIndirectProbeRequested;

    Probe(PeerId target, Optional<PeerId> requester, long requesterSequence, long sentNanos) {
      this.target = target;
      this.requester = requester;
      this.requesterSequence = requesterSequence;
      this.sentNanos = sentNanos;
    }
  }

  /**
   * Creates a membership that contains only this process.
   *
   * @param self the record of this process in the state {@link MemberState#ALIVE}, not null
   * @param settings the settings, not null
   * @param random the source of randomness, not null
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   */
  public SwimMembership(
      MemberRecord self, MembershipSettings settings, UniformRandomProvider random, long nowNanos) {
    this.self = Objects.requireNonNull(self, "self");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.random = Objects.requireNonNull(random, "random");
    this.lastTickNanos = nowNanos;
    this.lastSyncNanos = nowNanos;
    updates.add(self);
  }

  /**
   * Gets the other processes that are alive or suspected.
   *
   * @return the ids of the processes in ascending order, never null
   */
  public Set<PeerId> getLive() {
    refreshLivePeers();
    return livePeers;
  }

  /**
   * Gets the other processes of an availability zone that are alive or suspected.
   *
   * @param zone the availability zone, not null
   * @return the ids of the processes in ascending order, never null
   */
  public List<PeerId> getLive(AvailabilityZone zone) {
    return getLive().stream().filter(p -> members.get(p).zone().equals(zone)).sorted().toList();
  }

  /**
   * Finds the record of a process.
   *
   * @param id the id of the process, not null
   * @return the record, or empty if the process is not known
   */
  public Optional<MemberRecord> find(PeerId id) {
    return id.equals(self.id()) ? Optional.of(self) : Optional.ofNullable(members.get(id));
  }

  /**
   * Gets the records of all other processes, including dead ones.
   *
   * @return the records in no particular order, never null
   */
  public List<MemberRecord> getMembers() {
    return List.copyOf(members.values());
  }

  /**
   * Adds a process from the list of the platform. The record is not sent to peers, because every
   * process reads the list itself.
   *
   * @param record the record of the process, not null
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   */
  public void addSeed(MemberRecord record, long nowNanos) {
    MemberRecord known = members.get(record.id());
    boolean isNewer = known == null ? record.state().isLive() : record.isNewerThan(known);
    if (isNewer && !record.id().equals(self.id())) {
      store(record, nowNanos);
    }
  }

  /**
   * Sets the state of this process to {@link MemberState#LEFT} and notifies some peers.
   *
   * @return the messages to send, never null
   */
  public List<MembershipSend> leave() {
    self = self.withState(MemberState.LEFT);
    updates.add(self);
    List<MembershipSend> outgoing = new ArrayList<>();
    for (PeerId peer : selectRandomPeers(self.id())) {
      outgoing.add(new MembershipSend(peer, new MembershipMessage.Ping(0, takeUpdates(peer))));
    }
    return outgoing;
  }

  /**
   * Performs the periodic work: expires probes and suspicions, starts new probes and compares
   * member lists. To be called once per tick interval.
   *
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   * @return the messages to send, never null
   */
  public List<MembershipSend> onTick(long nowNanos) {
    long pauseNanos = nowNanos - lastTickNanos - 2 * settings.tick().toNanos();
    if (pauseNanos > 0) {
      compensateForPause(pauseNanos);
    }
    lastTickNanos = nowNanos;
    List<MembershipSend> outgoing = new ArrayList<>();
    expireProbes(nowNanos, outgoing);
    expireRecords(nowNanos);
    if (ticks++ % TICKS_PER_PROBE_PERIOD == 0) {
      nextProbeTarget(sameZoneProbeOrder, true).ifPresent(p -> startProbe(p, nowNanos, outgoing));
      nextProbeTarget(otherZoneProbeOrder, false).ifPresent(p -> startProbe(p, nowNanos, outgoing));
      selectDeadMember().ifPresent(p -> startProbe(p, nowNanos, outgoing));
    }
    if (nowNanos - lastSyncNanos >= settings.syncInterval().toNanos() && !getLive().isEmpty()) {
      lastSyncNanos = nowNanos;
      PeerId peer = selectLivePeer();
      outgoing.add(new MembershipSend(peer, new MembershipMessage.SyncRequest(computeDigest())));
    }
    return outgoing;
  }

  /**
   * Handles a message from a peer.
   *
   * @param sender the sender of the message, not null
   * @param message the message, not null
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   * @return the messages to send, never null
   */
  public List<MembershipSend> onMessage(PeerId sender, MembershipMessage message, long nowNanos) {
    List<MembershipSend> outgoing = new ArrayList<>();
    if (message instanceof MembershipMessage.Ping ping) {
      boolean isNew = !members.containsKey(sender);
      merge(ping.updates(), nowNanos);
      MembershipMessage ack =
          new MembershipMessage.Ack(ping.sequence(), self.id(), takeUpdates(sender));
      outgoing.add(new MembershipSend(sender, ack));
      if (isNew) {
        addSyncReplies(sender, outgoing);
      }
    } else if (message instanceof MembershipMessage.Ack ack) {
      merge(ack.updates(), nowNanos);
      handleAck(ack, outgoing);
    } else if (message instanceof MembershipMessage.PingRequest request) {
      merge(request.updates(), nowNanos);
      Probe probe = new Probe(request.target(), Optional.of(sender), request.sequence(), nowNanos);
      sendPing(probe, outgoing);
    } else if (message instanceof MembershipMessage.SyncRequest request) {
      if (request.digest() != computeDigest()) {
        addSyncReplies(sender, outgoing);
      }
    } else if (message instanceof MembershipMessage.SyncReply reply) {
      merge(reply.members(), nowNanos);
    }
    return outgoing;
  }

  private void handleAck(MembershipMessage.Ack ack, List<MembershipSend> outgoing) {
    Probe probe = probes.get(ack.sequence());
    if (probe == null || !probe.target.equals(ack.subject())) {
      return;
    }
    probes.remove(ack.sequence());
    probe.requester.ifPresent(
        requester ->
            outgoing.add(
                new MembershipSend(
                    requester,
                    new MembershipMessage.Ack(
                        probe.requesterSequence, probe.target, takeUpdates(requester)))));
  }

  /** Discards unanswered probes and extends all timeouts by the pause of this process. */
  private void compensateForPause(long pauseNanos) {
    probes.clear();
    stateSinceNanos.replaceAll((id, since) -> since + pauseNanos);
  }

  /**
   * Requests indirect probes after the ack timeout and suspects targets after the probe timeout.
   */
  private void expireProbes(long nowNanos, List<MembershipSend> outgoing) {
    Iterator<Map.Entry<Long, Probe>> iterator = probes.entrySet().iterator();
    List<PeerId> failed = new ArrayList<>();
    while (iterator.hasNext()) {
      Map.Entry<Long, Probe> entry = iterator.next();
      Probe probe = entry.getValue();
      long age = nowNanos - probe.sentNanos;
      if (age >= settings.probeTimeout().toNanos()) {
        iterator.remove();
        if (probe.requester.isEmpty()) {
          failed.add(probe.target);
        }
      } else if (age >= settings.ackTimeout().toNanos()
          && !probe.isIndirectProbeRequested
          && probe.requester.isEmpty()) {
        probe.isIndirectProbeRequested = true;
        requestIndirectProbes(entry.getKey(), probe, outgoing);
      }
    }
    failed.forEach(p -> markSuspect(p, nowNanos));
  }

  private void requestIndirectProbes(long sequence, Probe probe, List<MembershipSend> outgoing) {
    for (PeerId peer : selectRandomPeers(probe.target)) {
      MembershipMessage request =
          new MembershipMessage.PingRequest(sequence, probe.target, takeUpdates(peer));
      outgoing.add(new MembershipSend(peer, request));
    }
  }

  private void markSuspect(PeerId id, long nowNanos) {
    MemberRecord record = members.get(id);
    if (record != null && record.state() == MemberState.ALIVE) {
      storeAndDisseminate(record.withState(MemberState.SUSPECT), nowNanos);
    }
  }

  /**
   * Declares suspects dead after the suspicion timeout and removes the records of dead and left
   * processes after the retention.
   */
  private void expireRecords(long nowNanos) {
    for (Map.Entry<PeerId, Long> entry : List.copyOf(stateSinceNanos.entrySet())) {
      MemberRecord record = members.get(entry.getKey());
      long age = nowNanos - entry.getValue();
      if (record.state() == MemberState.SUSPECT) {
        if (age >= settings.suspicionTimeout().toNanos()) {
          storeAndDisseminate(record.withState(MemberState.DEAD), nowNanos);
        }
      } else if (age >= settings.deadRetention().toNanos()) {
        members.remove(record.id());
        stateSinceNanos.remove(record.id());
      }
    }
  }

  private void merge(List<MemberRecord> records, long nowNanos) {
    for (MemberRecord record : records) {
      if (record.id().equals(self.id())) {
        refute(record);
        continue;
      }
      MemberRecord known = members.get(record.id());
      boolean isNewer = known == null ? record.state().isLive() : record.isNewerThan(known);
      if (isNewer) {
        storeAndDisseminate(record, nowNanos);
      }
    }
  }

  /** Raises the incarnation of this process if a peer does not consider this process alive. */
  private void refute(MemberRecord reported) {
    boolean isFalse =
        self.state() == MemberState.ALIVE
            && reported.state() != MemberState.ALIVE
            && reported.incarnation() >= self.incarnation();
    if (isFalse) {
      self =
          new MemberRecord(
              self.id(),
              self.address(),
              self.zone(),
              reported.incarnation() + 1,
              MemberState.ALIVE);
      updates.add(self);
    }
  }

  private void storeAndDisseminate(MemberRecord record, long nowNanos) {
    store(record, nowNanos);
    updates.add(record);
  }

  private void store(MemberRecord record, long nowNanos) {
    members.put(record.id(), record);
    if (record.state() == MemberState.ALIVE) {
      stateSinceNanos.remove(record.id());
    } else {
      stateSinceNanos.put(record.id(), nowNanos);
    }
    areLivePeersOutdated = true;
  }

  private void startProbe(PeerId target, long nowNanos, List<MembershipSend> outgoing) {
    sendPing(new Probe(target, Optional.empty(), 0, nowNanos), outgoing);
  }

  private void sendPing(Probe probe, List<MembershipSend> outgoing) {
    long sequence = nextSequence++;
    probes.put(sequence, probe);
    MembershipMessage ping = new MembershipMessage.Ping(sequence, takeUpdates(probe.target));
    outgoing.add(new MembershipSend(probe.target, ping));
  }

  /**
   * Takes the updates to send with a message. A receiver that is not known to be alive also gets
   * its own record, so that it can refute it, and the record of this process.
   */
  private List<MemberRecord> takeUpdates(PeerId receiver) {
    List<MemberRecord> taken =
        new ArrayList<>(updates.take(MAX_UPDATES_PER_MESSAGE, members.size() + 1));
    MemberRecord record = members.get(receiver);
    if (record != null && record.state() != MemberState.ALIVE && !taken.contains(record)) {
      taken.add(record);
    }
    if (record == null || record.state() != MemberState.ALIVE) {
      taken.add(self);
    }
    return taken;
  }

  private Optional<PeerId> nextProbeTarget(Deque<PeerId> order, boolean isSameZone) {
    for (int i = 0; i < 2; i++) {
      while (!order.isEmpty()) {
        PeerId id = order.poll();
        MemberRecord record = members.get(id);
        if (record != null && record.state().isLive()) {
          return Optional.of(id);
        }
      }
      refillProbeOrder(order, isSameZone);
    }
    return Optional.empty();
  }

  private void refillProbeOrder(Deque<PeerId> order, boolean isSameZone) {
    List<PeerId> ids = new ArrayList<>();
    for (MemberRecord record : members.values()) {
      if (record.state().isLive() && record.zone().equals(self.zone()) == isSameZone) {
        ids.add(record.id());
      }
    }
    Collections.sort(ids);
    shuffle(ids);
    order.addAll(ids);
  }

  private void shuffle(List<PeerId> ids) {
    for (int i = ids.size() - 1; i > 0; i--) {
      Collections.swap(ids, i, random.nextInt(i + 1));
    }
  }

  private Optional<PeerId> selectDeadMember() {
    List<PeerId> dead = new ArrayList<>();
    for (PeerId id : stateSinceNanos.keySet()) {
      if (members.get(id).state() == MemberState.DEAD) {
        dead.add(id);
      }
    }
    Collections.sort(dead);
    return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(random.nextInt(dead.size())));
  }

  private Set<PeerId> selectRandomPeers(PeerId excluded) {
    Set<PeerId> peers = new HashSet<>();
    for (int i = 0;
        i < 2 * MAX_RANDOM_PEERS && peers.size() < MAX_RANDOM_PEERS && !getLive().isEmpty();
        i++) {
      PeerId peer = selectLivePeer();
      if (!peer.equals(excluded)) {
        peers.add(peer);
      }
    }
    return peers;
  }

  private PeerId selectLivePeer() {
    List<PeerId> all = new ArrayList<>(getLive());
    return all.get(random.nextInt(all.size()));
  }

  private void refreshLivePeers() {
    if (!areLivePeersOutdated) {
      return;
    }
    areLivePeersOutdated = false;
    Set<PeerId> found = new TreeSet<>();
    members.values().stream().filter(m -> m.state().isLive()).forEach(m -> found.add(m.id()));
    livePeers = Collections.unmodifiableSet(found);
  }

  private void addSyncReplies(PeerId receiver, List<MembershipSend> outgoing) {
    List<MemberRecord> all = new ArrayList<>(members.values());
    all.add(self);
    for (int i = 0; i < all.size(); i += MAX_MEMBERS_PER_SYNC_REPLY) {
      List<MemberRecord> part =
          List.copyOf(all.subList(i, Math.min(all.size(), i + MAX_MEMBERS_PER_SYNC_REPLY)));
      outgoing.add(new MembershipSend(receiver, new MembershipMessage.SyncReply(part)));
    }
  }

  private long computeDigest() {
    long digest = digestOf(self);
    for (MemberRecord record : members.values()) {
      if (record.state().isLive()) {
        digest += digestOf(record);
      }
    }
    return digest;
  }

  private static long digestOf(MemberRecord record) {
    long hash = FNV_OFFSET_BASIS;
    String text = record.id().value();
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return (hash ^ record.incarnation()) * FNV_PRIME;
  }
}
