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
 * Decides which processes are alive. Not thread safe.
 *
 * <p>The protocol is SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol", DSN 2002) with suspicion. Every process
 * probes one process of its own availability zone and one of the others in each period, in a
 * shuffled round robin, and asks others to probe before it suspects, so that a cut in one direction
 * between two processes does no harm. A process that was paused itself does not blame others for
 * it, which is the idea of Lifeguard (A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health
 * Awareness for More Accurate Failure Detection", DSN-W 2018). Changes ride on the probes, so the
 * load of a process does not depend on the number of members. Dead processes are probed now and
 * then, so that two sides of a healed cut find each other.
 */
public final class SwimMembership {

  private static final int HELPERS = 3;
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final int MAX_UPDATES = 12;
  private static final int SYNC_CHUNK = 256;
  private static final int TICKS_PER_PERIOD = 2;

  private final MembershipSettings settings;
  private final UniformRandomProvider random;
  private final Map<PeerId, MemberRecord> members = new HashMap<>();
  private final Map<PeerId, Long> stateSinceNanos = new HashMap<>();
  private final UpdateQueue updates = new UpdateQueue();
  private final Map<Long, Probe> probes = new HashMap<>();
  private final Deque<PeerId> nearOrder = new ArrayDeque<>();
  private final Deque<PeerId> farOrder = new ArrayDeque<>();
  private MemberRecord self;
  private Set<PeerId> live = Set.of();
  private boolean isChanged;
  private long lastTickNanos;
  private long lastSyncNanos;
  private long ticks;
  private long nextSequence = 1;

  /** A question that waits for an answer; one that was asked for somebody else has an asker. */
  private static final class Probe {
    private final PeerId target;
    private final Optional<PeerId> asker;
    private final long askerSequence;
    private long sentNanos;
    private boolean isIndirect;

    Probe(PeerId target, Optional<PeerId> asker, long askerSequence, long sentNanos) {
      this.target = target;
      this.asker = asker;
      this.askerSequence = askerSequence;
      this.sentNanos = sentNanos;
    }
  }

  /**
   * Creates a membership of this process alone.
   *
   * @param self this process, alive, not null
   * @param settings the settings, not null
   * @param random the source of randomness, not null
   * @param nowNanos the reading of the monotonic clock
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
   * Gets the other processes that are believed to be alive.
   *
   * @return the processes, never null
   */
  public Set<PeerId> getLive() {
    refreshLive();
    return live;
  }

  /**
   * Gets the live processes of an availability zone, without this process.
   *
   * @param zone the zone, not null
   * @return the processes in the order of their names, never null
   */
  public List<PeerId> getLive(AvailabilityZone zone) {
    return getLive().stream().filter(p -> members.get(p).zone().equals(zone)).sorted().toList();
  }

  /**
   * Finds what is believed of a process.
   *
   * @param id the process, not null
   * @return the record, or empty if the process is not known
   */
  public Optional<MemberRecord> find(PeerId id) {
    return id.equals(self.id()) ? Optional.of(self) : Optional.ofNullable(members.get(id));
  }

  /**
   * Gets all records of other processes.
   *
   * @return the records, never null
   */
  public List<MemberRecord> getMembers() {
    return List.copyOf(members.values());
  }

  /**
   * Takes a process that the platform listed. It is not passed on, because all read the list.
   *
   * @param record the process, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public void addSeed(MemberRecord record, long nowNanos) {
    MemberRecord known = members.get(record.id());
    boolean isNews = known == null ? record.state().isLive() : record.isNewerThan(known);
    if (isNews && !record.id().equals(self.id())) {
      keep(record, nowNanos);
    }
  }

  /**
   * Marks this process as leaving and tells some peers.
   *
   * @return what to send, never null
   */
  public List<MembershipSend> leave() {
    self = self.withState(MemberState.LEFT);
    updates.add(self);
    List<MembershipSend> sends = new ArrayList<>();
    for (PeerId peer : pickHelpers(self.id())) {
      sends.add(new MembershipSend(peer, new MembershipMessage.Ping(0, takeUpdates(peer))));
    }
    return sends;
  }

  /**
   * Takes a regular tick.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return what to send, never null
   */
  public List<MembershipSend> onTick(long nowNanos) {
    long late = nowNanos - lastTickNanos - 2 * settings.tick().toNanos();
    if (late > 0) {
      forgive(late);
    }
    lastTickNanos = nowNanos;
    List<MembershipSend> sends = new ArrayList<>();
    checkProbes(nowNanos, sends);
    checkSuspects(nowNanos);
    if (ticks++ % TICKS_PER_PERIOD == 0) {
      next(nearOrder, true).ifPresent(p -> probe(p, nowNanos, sends));
      next(farOrder, false).ifPresent(p -> probe(p, nowNanos, sends));
      pickDead().ifPresent(p -> probe(p, nowNanos, sends));
    }
    if (nowNanos - lastSyncNanos >= settings.syncInterval().toNanos() && !getLive().isEmpty()) {
      lastSyncNanos = nowNanos;
      PeerId peer = pickLive();
      sends.add(new MembershipSend(peer, new MembershipMessage.SyncRequest(computeDigest())));
    }
    return sends;
  }

  /**
   * Takes a message.
   *
   * @param sender the sender, not null
   * @param message the message, not null
   * @param nowNanos the reading of the monotonic clock
   * @return what to send, never null
   */
  public List<MembershipSend> onMessage(PeerId sender, MembershipMessage message, long nowNanos) {
    List<MembershipSend> sends = new ArrayList<>();
    if (message instanceof MembershipMessage.Ping ping) {
      boolean isNew = !members.containsKey(sender);
      merge(ping.updates(), nowNanos);
      MembershipMessage ack =
          new MembershipMessage.Ack(ping.sequence(), self.id(), takeUpdates(sender));
      sends.add(new MembershipSend(sender, ack));
      if (isNew) {
        addSync(sender, sends);
      }
    } else if (message instanceof MembershipMessage.Ack ack) {
      merge(ack.updates(), nowNanos);
      onAck(ack, sends);
    } else if (message instanceof MembershipMessage.PingRequest request) {
      merge(request.updates(), nowNanos);
      Probe probe = new Probe(request.target(), Optional.of(sender), request.sequence(), nowNanos);
      ping(probe, sends);
    } else if (message instanceof MembershipMessage.SyncRequest request) {
      if (request.digest() != computeDigest()) {
        addSync(sender, sends);
      }
    } else if (message instanceof MembershipMessage.SyncReply reply) {
      merge(reply.members(), nowNanos);
    }
    return sends;
  }

  private void onAck(MembershipMessage.Ack ack, List<MembershipSend> sends) {
    Probe probe = probes.get(ack.sequence());
    if (probe == null || !probe.target.equals(ack.subject())) {
      return;
    }
    probes.remove(ack.sequence());
    probe.asker.ifPresent(
        asker ->
            sends.add(
                new MembershipSend(
                    asker,
                    new MembershipMessage.Ack(
                        probe.askerSequence, probe.target, takeUpdates(asker)))));
  }

  /** Gives everybody the time for which this process was paused itself. */
  private void forgive(long lateNanos) {
    probes.clear();
    stateSinceNanos.replaceAll((id, since) -> since + lateNanos);
  }

  private void checkProbes(long nowNanos, List<MembershipSend> sends) {
    Iterator<Map.Entry<Long, Probe>> iterator = probes.entrySet().iterator();
    List<PeerId> failed = new ArrayList<>();
    while (iterator.hasNext()) {
      Map.Entry<Long, Probe> entry = iterator.next();
      Probe probe = entry.getValue();
      long age = nowNanos - probe.sentNanos;
      if (age >= settings.probeTimeout().toNanos()) {
        iterator.remove();
        if (probe.asker.isEmpty()) {
          failed.add(probe.target);
        }
      } else if (age >= settings.ackTimeout().toNanos()
          && !probe.isIndirect
          && probe.asker.isEmpty()) {
        probe.isIndirect = true;
        askHelpers(entry.getKey(), probe, sends);
      }
    }
    failed.forEach(p -> suspect(p, nowNanos));
  }

  private void askHelpers(long sequence, Probe probe, List<MembershipSend> sends) {
    for (PeerId helper : pickHelpers(probe.target)) {
      MembershipMessage request =
          new MembershipMessage.PingRequest(sequence, probe.target, takeUpdates(helper));
      sends.add(new MembershipSend(helper, request));
    }
  }

  private void suspect(PeerId id, long nowNanos) {
    MemberRecord record = members.get(id);
    if (record != null && record.state() == MemberState.ALIVE) {
      put(record.withState(MemberState.SUSPECT), nowNanos);
    }
  }

  private void checkSuspects(long nowNanos) {
    for (Map.Entry<PeerId, Long> entry : List.copyOf(stateSinceNanos.entrySet())) {
      MemberRecord record = members.get(entry.getKey());
      long age = nowNanos - entry.getValue();
      if (record.state() == MemberState.SUSPECT) {
        if (age >= settings.suspicionTimeout().toNanos()) {
          put(record.withState(MemberState.DEAD), nowNanos);
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
        object(record);
        continue;
      }
      MemberRecord known = members.get(record.id());
      boolean isNews = known == null ? record.state().isLive() : record.isNewerThan(known);
      if (isNews) {
        put(record, nowNanos);
      }
    }
  }

  /** Raises the own incarnation if somebody believes anything but that this process is alive. */
  private void object(MemberRecord told) {
    boolean isWrong =
        self.state() == MemberState.ALIVE
            && told.state() != MemberState.ALIVE
            && told.incarnation() >= self.incarnation();
    if (isWrong) {
      self =
          new MemberRecord(
              self.id(), self.address(), self.zone(), told.incarnation() + 1, MemberState.ALIVE);
      updates.add(self);
    }
  }

  private void put(MemberRecord record, long nowNanos) {
    keep(record, nowNanos);
    updates.add(record);
  }

  private void keep(MemberRecord record, long nowNanos) {
    members.put(record.id(), record);
    if (record.state() == MemberState.ALIVE) {
      stateSinceNanos.remove(record.id());
    } else {
      stateSinceNanos.put(record.id(), nowNanos);
    }
    isChanged = true;
  }

  private void probe(PeerId target, long nowNanos, List<MembershipSend> sends) {
    ping(new Probe(target, Optional.empty(), 0, nowNanos), sends);
  }

  private void ping(Probe probe, List<MembershipSend> sends) {
    long sequence = nextSequence++;
    probes.put(sequence, probe);
    MembershipMessage ping = new MembershipMessage.Ping(sequence, takeUpdates(probe.target));
    sends.add(new MembershipSend(probe.target, ping));
  }

  /** Takes changes to send; a receiver that is not believed to be alive is told so. */
  private List<MemberRecord> takeUpdates(PeerId receiver) {
    List<MemberRecord> taken = new ArrayList<>(updates.take(MAX_UPDATES, members.size() + 1));
    MemberRecord record = members.get(receiver);
    if (record != null && record.state() != MemberState.ALIVE && !taken.contains(record)) {
      taken.add(record);
    }
    if (record == null || record.state() != MemberState.ALIVE) {
      taken.add(self);
    }
    return taken;
  }

  private Optional<PeerId> next(Deque<PeerId> order, boolean isNear) {
    for (int i = 0; i < 2; i++) {
      while (!order.isEmpty()) {
        PeerId id = order.poll();
        MemberRecord record = members.get(id);
        if (record != null && record.state().isLive()) {
          return Optional.of(id);
        }
      }
      refill(order, isNear);
    }
    return Optional.empty();
  }

  private void refill(Deque<PeerId> order, boolean isNear) {
    List<PeerId> ids = new ArrayList<>();
    for (MemberRecord record : members.values()) {
      if (record.state().isLive() && record.zone().equals(self.zone()) == isNear) {
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

  private Optional<PeerId> pickDead() {
    List<PeerId> dead = new ArrayList<>();
    for (PeerId id : stateSinceNanos.keySet()) {
      if (members.get(id).state() == MemberState.DEAD) {
        dead.add(id);
      }
    }
    Collections.sort(dead);
    return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(random.nextInt(dead.size())));
  }

  private Set<PeerId> pickHelpers(PeerId excluded) {
    Set<PeerId> helpers = new HashSet<>();
    for (int i = 0; i < 2 * HELPERS && helpers.size() < HELPERS && !getLive().isEmpty(); i++) {
      PeerId peer = pickLive();
      if (!peer.equals(excluded)) {
        helpers.add(peer);
      }
    }
    return helpers;
  }

  private PeerId pickLive() {
    List<PeerId> all = new ArrayList<>(getLive());
    return all.get(random.nextInt(all.size()));
  }

  private void refreshLive() {
    if (!isChanged) {
      return;
    }
    isChanged = false;
    Set<PeerId> found = new TreeSet<>();
    members.values().stream().filter(m -> m.state().isLive()).forEach(m -> found.add(m.id()));
    live = Collections.unmodifiableSet(found);
  }

  private void addSync(PeerId receiver, List<MembershipSend> sends) {
    List<MemberRecord> all = new ArrayList<>(members.values());
    all.add(self);
    for (int i = 0; i < all.size(); i += SYNC_CHUNK) {
      List<MemberRecord> part = List.copyOf(all.subList(i, Math.min(all.size(), i + SYNC_CHUNK)));
      sends.add(new MembershipSend(receiver, new MembershipMessage.SyncReply(part)));
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
    long hash = FNV_OFFSET;
    String text = record.id().value();
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return (hash ^ record.incarnation()) * FNV_PRIME;
  }
}
