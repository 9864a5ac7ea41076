package io.fireflyshed.coordination.directory;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.peer.PeerId;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the entry of an availability zone that reads the table service, or joins the loads, for
 * the others.
 *
 * <p>All entries rank each other by their processor cores, since this work grows with the number of
 * entries, and then by the hashes of their names (rendezvous hashing). So they agree without
 * messages as far as they know the same entries, and the loss of one moves only its own load. An
 * entry that failed is left out for a while, which doubles with each further failure. Not thread
 * safe.
 */
public final class ReaderSelector {

  /** The first pause of an entry that failed; some restarts end within it. */
  static final Duration MIN_PAUSE = Duration.ofSeconds(2);

  /** The longest pause, within which an entry that came back is used again. */
  static final Duration MAX_PAUSE = Duration.ofSeconds(30);

  private static final Comparator<PeerId> BY_SCORE =
      Comparator.comparingLong(ReaderSelector::getScore).thenComparing(PeerId::value);

  private static final Comparator<EntryPeer> BY_RANK =
      Comparator.comparingDouble(EntryPeer::cores)
          .reversed()
          .thenComparing(EntryPeer::id, BY_SCORE);

  /** Holds the end of the pause of an entry and its length. */
  private record Pause(long endNanos, Duration length) {}

  private final PeerId self;
  private final AvailabilityZone zone;
  private final double cores;
  private final Map<PeerId, Pause> pauses = new HashMap<>();

  /**
   * Creates a selector without failed entries.
   *
   * @param self this entry, not null
   * @param zone the availability zone of this entry, not null
   * @param cores the processor cores of this entry as it publishes them, 0 if unknown
   */
  public ReaderSelector(PeerId self, AvailabilityZone zone, double cores) {
    this.self = Objects.requireNonNull(self, "self");
    this.zone = Objects.requireNonNull(zone, "zone");
    this.cores = cores;
  }

  /**
   * Selects the entry of this entry's availability zone to ask.
   *
   * @param entries the known entries of all availability zones, not null
   * @param nowNanos the current time of the monotonic clock
   * @return the entry, empty if this one must do the work itself, never null
   */
  public Optional<EntryPeer> select(Collection<EntryPeer> entries, long nowNanos) {
    return selectOf(zone, entries, nowNanos).filter(this::isRankedHigher);
  }

  private boolean isRankedHigher(EntryPeer entry) {
    int byCores = Double.compare(entry.cores(), cores);
    return byCores == 0 ? BY_SCORE.compare(entry.id(), self) < 0 : byCores > 0;
  }

  /**
   * Selects the entry of an availability zone, other than this one, to ask.
   *
   * @param wanted the availability zone, not null
   * @param entries the known entries of all availability zones, not null
   * @param nowNanos the current time of the monotonic clock
   * @return the entry, empty if none is known or usable, never null
   */
  public Optional<EntryPeer> selectOf(
      AvailabilityZone wanted, Collection<EntryPeer> entries, long nowNanos) {
    return entries.stream()
        .filter(e -> e.zone().equals(wanted) && !e.id().equals(self))
        .filter(e -> !isPaused(e.id(), nowNanos))
        .min(BY_RANK);
  }

  private boolean isPaused(PeerId id, long nowNanos) {
    Pause pause = pauses.get(id);
    return pause != null && nowNanos - pause.endNanos() < 0;
  }

  /**
   * Leaves out an entry that didn't answer or couldn't read.
   *
   * @param id the entry, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public void onFailure(PeerId id, long nowNanos) {
    Pause before = pauses.get(id);
    if (isPaused(id, nowNanos)) {
      return;
    }
    Duration doubled = before == null ? MIN_PAUSE : before.length().multipliedBy(2);
    Duration length = doubled.compareTo(MAX_PAUSE) < 0 ? doubled : MAX_PAUSE;
    pauses.put(id, new Pause(nowNanos + length.toNanos(), length));
  }

  /**
   * Forgets the failures of an entry that answered.
   *
   * @param id the entry, not null
   */
  public void onSuccess(PeerId id) {
    pauses.remove(id);
  }

  /**
   * Forgets the failures of entries that are no longer known.
   *
   * @param entries the known entries, not null
   */
  public void retain(Collection<EntryPeer> entries) {
    Set<PeerId> known = entries.stream().map(EntryPeer::id).collect(Collectors.toSet());
    pauses.keySet().retainAll(known);
  }

  /** Mixes the hash of a name, since those of similar names are close to each other. */
  private static long getScore(PeerId id) {
    long hash = 0xcbf29ce484222325L;
    for (char c : id.value().toCharArray()) {
      hash = (hash ^ c) * 0x100000001b3L;
    }
    hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
    hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
    return hash ^ hash >>> 33;
  }
}
