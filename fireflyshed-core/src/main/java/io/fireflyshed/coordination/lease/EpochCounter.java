package io.fireflyshed.coordination.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Chooses the epoch of a takeover so that no two coordinators of a zone have the same one, also if
 * the table service lost the rows of some of them.
 *
 * <p>Usually epochs count up by one from the epoch row. A table service that was restored from an
 * older copy since the row was written may have lost later epochs. For each restore more epochs are
 * skipped than can be taken over in the time that a copy lacks, so the epoch is unique although
 * nothing that knows the lost ones may be running or reachable. Epochs that this process saw itself
 * are skipped as well. Not thread safe.
 */
final class EpochCounter {

  /** The number of epochs that are skipped for each restore of the table service. */
  static final long EPOCHS_PER_RESTORE = 1_000;

  /**
   * The highest epoch that counts as seen. Higher ones can't have been reached by counting, and
   * generations derived from them could exceed the integers that JSON numbers represent exactly.
   */
  static final long MAX_SEEN_EPOCH = 1L << 31;

  /**
   * An epoch for a takeover.
   *
   * @param epoch the epoch, 1 or more
   * @param raiseReasons why it is above the next one, empty if it is the next one, not null
   */
  record Choice(long epoch, List<String> raiseReasons) {}

  private long highestEpoch;
  private String highestSource = "";
  private long highestNanos;

  /**
   * Records an epoch that a coordinator of the zone has or had.
   *
   * @param epoch the epoch; one out of range is ignored
   * @param source what showed the epoch, for the log, not null
   * @param nowNanos the current reading of the monotonic clock
   */
  void recordSeen(long epoch, String source, long nowNanos) {
    Objects.requireNonNull(source, "source");
    if (epoch > highestEpoch && epoch <= MAX_SEEN_EPOCH) {
      highestEpoch = epoch;
      highestSource = source;
      highestNanos = nowNanos;
    }
  }

  /**
   * Chooses the epoch of a takeover.
   *
   * @param rows the rows as they were read last, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return the epoch and why it is raised, never null
   */
  Choice choose(LeaseRows rows, long nowNanos) {
    List<String> reasons = new ArrayList<>();
    long rowEpoch = rows.epoch().map(LeaseRows.Entry::epoch).orElse(0L);
    long epoch = rowEpoch + 1;
    long restores = rows.countRestoresSinceWritten();
    if (restores > 0) {
      epoch += restores * EPOCHS_PER_RESTORE;
      reasons.add(restores + " restores of the table service since epoch " + rowEpoch);
    }
    if (highestEpoch >= epoch) {
      epoch = highestEpoch + 1;
      Duration age = Duration.ofNanos(nowNanos - highestNanos);
      reasons.add(
          "epoch " + highestEpoch + " seen in " + highestSource + " " + age.toMillis() + " ms ago");
    }
    return new Choice(epoch, reasons);
  }
}
