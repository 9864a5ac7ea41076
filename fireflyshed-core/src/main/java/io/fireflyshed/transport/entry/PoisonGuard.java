package io.fireflyshed.transport.entry;

import io.fireflyshed.coordination.poison.PoisonEntry;
import io.fireflyshed.coordination.poison.PoisonFingerprint;
import io.fireflyshed.coordination.poison.PoisonList;
import io.fireflyshed.coordination.poison.PoisonVerdict;
import io.fireflyshed.protocol.completion.CompletionRequest;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.peer.PeerBus;
import io.fireflyshed.state.peer.PeerNotice;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Shares the list of suspected requests with the other entries. Thread safe. */
public final class PoisonGuard {

  private static final Logger LOG = LoggerFactory.getLogger(PoisonGuard.class);

  private final PoisonList list;
  private final PeerBus peers;
  private final MonotonicClock clock;

  /**
   * Creates a guard and listens to the notices of peers.
   *
   * @param list the list, not null
   * @param peers the bus between entries, not null
   * @param clock the clock of this process, not null
   */
  public PoisonGuard(PoisonList list, PeerBus peers, MonotonicClock clock) {
    this.list = Objects.requireNonNull(list, "list");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.clock = Objects.requireNonNull(clock, "clock");
    peers.subscribe(this::onNotice);
  }

  /**
   * Gets the suspected and the refused requests.
   *
   * @return the entries, oldest first, never null
   */
  public List<PoisonEntry> getEntries() {
    return list.getEntries(clock.nanoTime());
  }

  /**
   * Clears a request here and at all peers.
   *
   * @param fingerprint the fingerprint, not null
   * @return whether it was suspected here
   */
  public boolean clear(String fingerprint) {
    LOG.info("poison: {} cleared", fingerprint);
    boolean isKnown = list.onCompleted(fingerprint);
    peers.publish(new PeerNotice.PoisonCleared(fingerprint));
    return isKnown;
  }

  /** Gets how a request may be run. */
  PoisonVerdict getVerdict(CompletionRequest request) {
    return list.isEmpty()
        ? PoisonVerdict.CLEAR
        : list.getVerdict(toFingerprint(request), clock.nanoTime());
  }

  /** Takes in that a replica was lost that was running a request, and tells peers. */
  void onLost(CompletionRequest request, Assignment replica) {
    String fingerprint = toFingerprint(request);
    long now = clock.nanoTime();
    if (list.onCrash(fingerprint, replica.id(), replica.generation(), now)) {
      peers.publish(
          new PeerNotice.PoisonSuspected(fingerprint, replica.id(), replica.generation()));
      LOG.info(
          "poison: {} was running when {} was lost, now {}",
          fingerprint,
          replica.id(),
          list.getVerdict(fingerprint, now));
    }
  }

  /** Takes in that a request ran to its end, and tells peers if it was suspected. */
  void onCompleted(CompletionRequest request) {
    if (list.isEmpty()) {
      return;
    }
    String fingerprint = toFingerprint(request);
    if (list.onCompleted(fingerprint)) {
      peers.publish(new PeerNotice.PoisonCleared(fingerprint));
    }
  }

  /** Chooses a replica for a suspect, apart from other suspects. */
  Optional<Assignment> isolate(CompletionRequest request, List<Assignment> open) {
    List<ReplicaId> ids = open.stream().map(Assignment::id).toList();
    return list.isolate(toFingerprint(request), ids, clock.nanoTime())
        .flatMap(id -> open.stream().filter(a -> a.id().equals(id)).findFirst());
  }

  private void onNotice(PeerNotice notice) {
    if (notice instanceof PeerNotice.PoisonSuspected n) {
      list.onCrash(n.fingerprint(), n.replica(), n.generation(), clock.nanoTime());
    } else if (notice instanceof PeerNotice.PoisonCleared n) {
      list.onCompleted(n.fingerprint());
    }
  }

  private static String toFingerprint(CompletionRequest request) {
    return PoisonFingerprint.of(request.model(), request.prompt());
  }
}
