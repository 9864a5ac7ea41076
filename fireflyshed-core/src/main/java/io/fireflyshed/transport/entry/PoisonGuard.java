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

/**
 * Tracks requests that may crash replicas and shares what it records with the other entries. Thread
 * safe.
 */
public final class PoisonGuard {

  private static final Logger LOG = LoggerFactory.getLogger(PoisonGuard.class);

  private final PoisonList list;
  private final PeerBus peers;
  private final MonotonicClock clock;

  /**
   * Creates a guard and subscribes to the notices of peers.
   *
   * @param list the list of suspected and refused requests, not null
   * @param peers exchanges notices with the other entries, not null
   * @param clock the clock of this process, not null
   */
  public PoisonGuard(PoisonList list, PeerBus peers, MonotonicClock clock) {
    this.list = Objects.requireNonNull(list, "list");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.clock = Objects.requireNonNull(clock, "clock");
    peers.subscribe(this::handleNotice);
  }

  /**
   * Returns the suspected and the refused requests.
   *
   * @return the entries, oldest first, never null
   */
  public List<PoisonEntry> getEntries() {
    return list.getEntries(clock.nanoTime());
  }

  /**
   * Clears a request on this entry and on all peers.
   *
   * @param fingerprint the fingerprint of the request, not null
   * @return whether the request was on the list of this entry
   */
  public boolean clear(String fingerprint) {
    LOG.info("poison: request {} cleared", fingerprint);
    boolean wasListed = list.onCompleted(fingerprint);
    peers.publish(new PeerNotice.PoisonCleared(fingerprint));
    return wasListed;
  }

  /** Returns whether and where a request may run. */
  PoisonVerdict getVerdict(CompletionRequest request) {
    return list.isEmpty()
        ? PoisonVerdict.CLEAR
        : list.getVerdict(toFingerprint(request), clock.nanoTime());
  }

  /** Records that a replica was lost while it ran a request, and notifies the peers. */
  void recordLoss(CompletionRequest request, Assignment replica) {
    String fingerprint = toFingerprint(request);
    long now = clock.nanoTime();
    if (list.onCrash(fingerprint, replica.id(), replica.generation(), now)) {
      peers.publish(
          new PeerNotice.PoisonSuspected(fingerprint, replica.id(), replica.generation()));
      LOG.info(
          "poison: request {} was running when replica {} was lost, its verdict is {}",
          fingerprint,
          replica.id(),
          list.getVerdict(fingerprint, now));
    }
  }

  /** Records that a request completed, and notifies the peers if it was on the list. */
  void recordCompletion(CompletionRequest request) {
    if (list.isEmpty()) {
      return;
    }
    String fingerprint = toFingerprint(request);
    if (list.onCompleted(fingerprint)) {
      peers.publish(new PeerNotice.PoisonCleared(fingerprint));
    }
  }

  /** Chooses the open replica on which a suspect runs, apart from all other suspects. */
  Optional<Assignment> isolate(CompletionRequest request, List<Assignment> openReplicas) {
    List<ReplicaId> ids = openReplicas.stream().map(Assignment::id).toList();
    return list.isolate(toFingerprint(request), ids, clock.nanoTime())
        .flatMap(
            id -> openReplicas.stream().filter(replica -> replica.id().equals(id)).findFirst());
  }

  private void handleNotice(PeerNotice notice) {
    if (notice instanceof PeerNotice.PoisonSuspected suspected) {
      list.onCrash(
          suspected.fingerprint(), suspected.replica(), suspected.generation(), clock.nanoTime());
    } else if (notice instanceof PeerNotice.PoisonCleared cleared) {
      list.onCompleted(cleared.fingerprint());
    }
  }

  private static String toFingerprint(CompletionRequest request) {
    return PoisonFingerprint.of(request.model(), request.prompt());
  }
}
