package io.fireflyshed.coordination.membership;

import io.fireflyshed.state.peer.PeerId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Holds recent changes until each was sent often enough to reach everybody, those that were sent
 * least first. Not thread safe.
 */
final class UpdateQueue {

  private static final int SENDS_PER_DOUBLING = 3;
  private static final Comparator<Entry> LEAST_SENT =
      Comparator.<Entry>comparingInt(e -> e.sends).thenComparing(e -> -e.order);

  private final PriorityQueue<Entry> queue = new PriorityQueue<>(LEAST_SENT);
  private final Map<PeerId, Entry> byMember = new HashMap<>();
  private long nextOrder;

  /** Adds a change, which replaces an earlier one of the same process. */
  void add(MemberRecord record) {
    Entry old = byMember.remove(record.id());
    if (old != null) {
      queue.remove(old);
    }
    put(new Entry(record, nextOrder++));
  }

  /** Takes up to a number of changes to send to one of a number of members. */
  List<MemberRecord> take(int limit, int members) {
    int maxSends = SENDS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(members));
    List<Entry> taken = new ArrayList<>();
    List<MemberRecord> records = new ArrayList<>();
    while (records.size() < limit && !queue.isEmpty()) {
      Entry entry = queue.poll();
      byMember.remove(entry.record.id());
      records.add(entry.record);
      entry.sends++;
      if (entry.sends < maxSends) {
        taken.add(entry);
      }
    }
    taken.forEach(this::put);
    return records;
  }

  private void put(Entry entry) {
    queue.add(entry);
    byMember.put(entry.record.id(), entry);
  }

  /** One change and how often it was sent. */
  private static final class Entry {

    private final MemberRecord record;
    private final long order;
    private int sends;

    Entry(MemberRecord record, long order) {
      this.record = record;
      this.order = order;
    }
  }
}
