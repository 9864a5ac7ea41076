package io.fireflyshed.coordination.membership;

import io.fireflyshed.state.peer.PeerId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Holds recent changes of member records until each was sent often enough to reach all members.
 * Changes that were sent the fewest times come first. Not thread safe.
 */
final class UpdateQueue {

  private static final int SENDS_PER_LOG2_MEMBERS = 3;
  private static final Comparator<Entry> LEAST_SENT =
      Comparator.<Entry>comparingInt(e -> e.sendCount).thenComparing(e -> -e.sequence);

  private final PriorityQueue<Entry> queue = new PriorityQueue<>(LEAST_SENT);
  private final Map<PeerId, Entry> entriesById = new HashMap<>();
  private long nextSequence;

  /** Adds a changed record, which replaces an earlier record of the same process. */
  void add(MemberRecord record) {
    Entry previous = entriesById.remove(record.id());
    if (previous != null) {
      queue.remove(previous);
    }
    put(new Entry(record, nextSequence++));
  }

  /**
   * Returns the next records to send to a member and counts them as sent. A record is removed after
   * a number of sends that grows with the logarithm of the number of members.
   */
  List<MemberRecord> take(int maxUpdates, int memberCount) {
    int maxSendCount =
        SENDS_PER_LOG2_MEMBERS * (Integer.SIZE - Integer.numberOfLeadingZeros(memberCount));
    List<Entry> retained = new ArrayList<>();
    List<MemberRecord> records = new ArrayList<>();
    while (records.size() < maxUpdates && !queue.isEmpty()) {
      Entry entry = queue.poll();
      entriesById.remove(entry.record.id());
      records.add(entry.record);
      entry.sendCount++;
      if (entry.sendCount < maxSendCount) {
        retained.add(entry);
      }
    }
    retained.forEach(this::put);
    return records;
  }

  private void put(Entry entry) {
    queue.add(entry);
    entriesById.put(entry.record.id(), entry);
  }

  /** A changed record and the number of times it was sent. */
  private static final class Entry {

    private final MemberRecord record;
    private final long sequence;
    private int sendCount;

    Entry(MemberRecord record, long sequence) {
      this.record = record;
      this.sequence = sequence;
    }
  }
}
