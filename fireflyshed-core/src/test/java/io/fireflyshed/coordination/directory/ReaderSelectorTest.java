package io.fireflyshed.coordination.directory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.peer.PeerId;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

/** Tests {@link ReaderSelector}. */
public class ReaderSelectorTest {

  private static final AvailabilityZone ZONE = new AvailabilityZone("a");
  private static final InetSocketAddress ADDRESS = InetSocketAddress.createUnresolved("h", 1);

  private static EntryPeer newEntry(int number) {
    return new EntryPeer(new PeerId("entry-" + number), ZONE, ADDRESS, 0);
  }

  private static List<EntryPeer> newEntries(int count) {
    List<EntryPeer> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(newEntry(i));
    }
    return entries;
  }

  private static PeerId selectAs(EntryPeer self, List<EntryPeer> entries) {
    return new ReaderSelector(self.id(), ZONE, 0)
        .select(entries, 0)
        .map(EntryPeer::id)
        .orElse(self.id());
  }

  @Test
  public void allEntriesOfAZoneSelectTheSameOne() {
    for (int count : new int[] {1, 2, 19, 300}) {
      List<EntryPeer> entries = newEntries(count);
      assertEquals(entries.stream().map(e -> selectAs(e, entries)).distinct().count(), 1);
    }
  }

  @Test
  public void allEntriesSelectTheSameOfThoseWithTheMostCores() {
    List<EntryPeer> entries = new ArrayList<>();
    for (int i = 0; i < 19; i++) {
      entries.add(new EntryPeer(new PeerId("entry-" + i), ZONE, ADDRESS, 0, i < 3 ? 1.5 : 0.36));
    }
    Set<PeerId> selected =
        entries.stream()
            .map(
                self ->
                    new ReaderSelector(self.id(), ZONE, self.cores())
                        .select(entries, 0)
                        .map(EntryPeer::id)
                        .orElse(self.id()))
            .collect(Collectors.toSet());
    assertEquals(selected.size(), 1);
    assertTrue(
        Set.of("entry-0", "entry-1", "entry-2").contains(selected.iterator().next().value()),
        selected.toString());
  }

  @Test
  public void entriesOfOtherZonesAreNotSelected() {
    List<EntryPeer> others = new ArrayList<>();
    newEntries(20)
        .forEach(e -> others.add(new EntryPeer(e.id(), new AvailabilityZone("b"), e.address(), 0)));
    assertEquals(
        new ReaderSelector(new PeerId("self"), ZONE, 0).select(others, 0), Optional.empty());
  }

  @Test
  public void removalOfAnEntryChangesOnlyTheReaderThatItWas() {
    Map<PeerId, Integer> readers = new HashMap<>();
    for (int first = 0; first < 400; first++) {
      List<EntryPeer> entries = new ArrayList<>();
      for (int i = 0; i < 5; i++) {
        entries.add(newEntry(first * 10 + i));
      }
      PeerId before = selectAs(entries.get(0), entries);
      List<EntryPeer> remaining = new ArrayList<>(entries);
      EntryPeer removed = remaining.remove(4);
      PeerId after = selectAs(entries.get(0), remaining);
      assertTrue(after.equals(before) || removed.id().equals(before));
      readers.merge(new PeerId("rank-" + entries.indexOf(find(entries, before))), 1, Integer::sum);
    }
    assertTrue(readers.values().stream().allMatch(n -> n > 40), "uneven: " + readers);
  }

  private static EntryPeer find(List<EntryPeer> entries, PeerId id) {
    return entries.stream().filter(e -> e.id().equals(id)).findFirst().orElseThrow();
  }

  @Test
  public void failedEntryIsLeftOutForLongerEachTime() {
    List<EntryPeer> entries = newEntries(8);
    PeerId best = selectAs(entries.get(0), entries);
    EntryPeer self = entries.stream().filter(e -> !e.id().equals(best)).findFirst().orElseThrow();
    ReaderSelector selector = new ReaderSelector(self.id(), ZONE, 0);
    long now = 0;
    Duration pause = ReaderSelector.MIN_PAUSE;
    for (int i = 0; i < 8; i++) {
      assertEquals(selector.select(entries, now).orElseThrow().id(), best);
      selector.onFailure(best, now);
      long almost = now + pause.toNanos() - 1;
      assertTrue(selector.select(entries, almost).filter(e -> e.id().equals(best)).isEmpty());
      now += pause.toNanos();
      Duration doubled = pause.multipliedBy(2);
      pause = doubled.compareTo(ReaderSelector.MAX_PAUSE) < 0 ? doubled : ReaderSelector.MAX_PAUSE;
    }
    selector.onSuccess(best);
    selector.onFailure(best, now);
    assertEquals(
        selector.select(entries, now + ReaderSelector.MIN_PAUSE.toNanos()).orElseThrow().id(),
        best);
  }

  @Test
  public void entryReadsItselfOnceAllBetterOnesFailed() {
    List<EntryPeer> entries = newEntries(6);
    ReaderSelector selector = new ReaderSelector(new PeerId("entry-0"), ZONE, 0);
    for (int i = 0; i < entries.size(); i++) {
      selector.select(entries, 0).ifPresent(e -> selector.onFailure(e.id(), 0));
    }
    assertEquals(selector.select(entries, 0), Optional.empty());
  }
}
