package io.fireflyshed.transport.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.directory.ReaderSelector;
import io.fireflyshed.coordination.placement.EntrySchedule;
import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.coordination.placement.LoadReport;
import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.ManualScheduler;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link LoadExchange} with entries in two availability zones in virtual time. */
public class LoadExchangeTest {

  private static final String POOL = "model";
  private static final int SLOTS = 4;
  private static final Duration SETTLING = Duration.ofSeconds(3);

  /** One entry. */
  private final class Entry {
    private final EntryPeer peer;
    private final TargetPlacer placer;
    private final StallDetector stalls = new StallDetector(PlacementSettings.ofDefaults());
    private final Set<InstanceId> told = new HashSet<>();
    private final LoadExchange exchange;

    Entry(String name, String zoneName) {
      AvailabilityZone zone = new AvailabilityZone(zoneName);
      PeerId id = new PeerId(name);
      peer = new EntryPeer(id, zone, InetSocketAddress.createUnresolved("h", 1), 0);
      placer =
          new TargetPlacer(
              PlacementSettings.ofDefaults(),
              zone,
              RandomSource.XO_RO_SHI_RO_128_PP.create(1),
              new EntrySchedule(0, 1, new SharedClock(clock)));
      exchange =
          new LoadExchange(
              id,
              zone,
              placer,
              stalls,
              told::addAll,
              (other, own, isZone, timeout) -> ask(id, other, own, isZone, timeout),
              () -> entries.stream().map(e -> e.peer).filter(p -> !p.id().equals(id)).toList(),
              new ReaderSelector(id, zone, 0),
              control,
              clock);
      exchange.start();
    }

    /** Returns the target that this entry would choose. */
    Optional<InstanceId> choose() {
      Placement placement =
          placer.place(RequestDescriptor.ofPool(POOL, true), targets, Set.of(), clock.nanoTime());
      return placement instanceof Placement.Send send
          ? Optional.of(send.target().id())
          : Optional.empty();
    }
  }

  private final List<Entry> entries = new ArrayList<>();
  private final List<Target> targets = new ArrayList<>();
  private final Set<PeerId> lostEntries = new HashSet<>();
  private ManualClock clock;
  private ManualScheduler control;

  /** Starts six entries in two zones in front of two targets. */
  @BeforeMethod
  public void setUp() {
    entries.clear();
    targets.clear();
    lostEntries.clear();
    clock = new ManualClock();
    clock.advance(Duration.ofHours(1));
    control = new ManualScheduler(clock);
    for (int i = 0; i < 6; i++) {
      entries.add(new Entry("entry-" + i, i % 2 == 0 ? "a" : "b"));
    }
    for (int i = 0; i < 2; i++) {
      targets.add(newTarget("t" + i));
    }
  }

  private static Target newTarget(String id) {
    return new Target(
        new InstanceId(id),
        new ServiceName("s"),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        new AvailabilityZone("a"),
        false,
        SLOTS,
        1,
        Optional.empty());
  }

  private CompletableFuture<FleetLoad> ask(
      PeerId sender, EntryPeer other, FleetLoad own, boolean isZone, Duration timeout) {
    CompletableFuture<FleetLoad> result = new CompletableFuture<>();
    control.schedule(
        () -> {
          result.completeExceptionally(new IllegalStateException("no answer"));
        },
        timeout.toMillis(),
        TimeUnit.MILLISECONDS);
    if (!lostEntries.contains(other.id()) && !lostEntries.contains(sender)) {
      find(other.id())
          .exchange
          .answer(new LoadReport(sender, own, isZone))
          .thenAccept(result::complete);
    }
    return result;
  }

  private Entry find(PeerId id) {
    return entries.stream().filter(e -> e.peer.id().equals(id)).findFirst().orElseThrow();
  }

  private void fill(Entry entry, int target) {
    InstanceId id = targets.get(target).id();
    for (int i = 0; i < SLOTS + PlacementSettings.ofDefaults().maxQueuedPerReplica(); i++) {
      entry.placer.onStart(id);
    }
  }

  private void startStream(Entry entry, String key) {
    entry.placer.onStart(targets.get(0).id());
    entry.stalls.start(key, targets.get(0).id(), clock.nanoTime());
  }

  @Test
  public void allEntriesAvoidATargetThatAnyOfThemFilled() {
    for (int filling = 0; filling < entries.size(); filling++) {
      setUp();
      fill(entries.get(filling), 0);
      control.advance(SETTLING);
      for (Entry entry : entries) {
        for (int i = 0; i < 20; i++) {
          assertEquals(entry.choose(), Optional.of(targets.get(1).id()));
        }
      }
    }
  }

  @Test
  public void requestsAreRefusedOnceTheEntriesTogetherFilledAllTargets() {
    fill(entries.get(0), 0);
    fill(entries.get(1), 1);
    control.advance(SETTLING);
    entries.forEach(e -> assertEquals(e.choose(), Optional.empty()));
  }

  @Test
  public void endedRequestsFreeTheTargetAtAllEntries() {
    fill(entries.get(0), 0);
    control.advance(SETTLING);
    for (int i = 0; i < SLOTS + PlacementSettings.ofDefaults().maxQueuedPerReplica(); i++) {
      entries.get(0).placer.onEnd(POOL, targets.get(0).id(), clock.nanoTime());
    }
    fill(entries.get(1), 1);
    control.advance(SETTLING);
    entries.forEach(e -> assertEquals(e.choose(), Optional.of(targets.get(0).id())));
  }

  @Test
  public void lossOfAnyEntryLeavesTheOthersInformed() {
    for (int lost = 0; lost < entries.size(); lost++) {
      setUp();
      lostEntries.add(entries.get(lost).peer.id());
      Entry filling =
          entries.stream()
              .filter(e -> !lostEntries.contains(e.peer.id()))
              .findFirst()
              .orElseThrow();
      fill(filling, 0);
      control.advance(SETTLING);
      for (Entry entry : entries) {
        if (!lostEntries.contains(entry.peer.id())) {
          assertEquals(entry.choose(), Optional.of(targets.get(1).id()));
        }
      }
    }
  }

  @Test
  public void entryThatKnowsFewLoadsUsesWhatTargetsReport() {
    entries.forEach(e -> lostEntries.add(e.peer.id()));
    control.advance(SETTLING);
    Entry entry = entries.get(0);
    entry.placer.onLoad(targets.get(0).id(), 100, SLOTS, clock.nanoTime());
    control.advance(SETTLING);
    assertEquals(entry.choose(), Optional.of(targets.get(1).id()));
  }

  @Test
  public void allEntriesAvoidATargetThatIsSilentTowardsOne() {
    startStream(entries.get(0), "silent");
    control.advance(PlacementSettings.ofDefaults().firstEventSilenceTimeout());
    control.advance(Duration.ofSeconds(1));
    for (Entry entry : entries) {
      assertEquals(entry.told, Set.of(targets.get(0).id()));
      for (int i = 0; i < 20; i++) {
        assertEquals(entry.choose(), Optional.of(targets.get(1).id()));
      }
    }
  }

  @Test
  public void targetThatRespondsToAnyEntryIsUsed() {
    startStream(entries.get(0), "silent");
    startStream(entries.get(1), "responsive");
    entries.get(2).placer.onStart(targets.get(1).id());
    entries.get(3).placer.onStart(targets.get(1).id());
    for (int i = 0; i < 30; i++) {
      entries.get(1).stalls.onEvent("responsive", clock.nanoTime());
      control.advance(Duration.ofMillis(100));
    }
    Set<Optional<InstanceId>> chosen = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      chosen.add(entries.get(2).choose());
    }
    assertEquals(chosen.size(), 2);
  }

  @Test
  public void reportsOfEntriesThatEndedAreForgotten() {
    fill(entries.get(0), 0);
    fill(entries.get(0), 1);
    control.advance(SETTLING);
    lostEntries.add(entries.get(0).peer.id());
    control.advance(SETTLING);
    assertTrue(entries.get(3).choose().isPresent());
    assertFalse(entries.get(0).choose().isPresent());
  }
}
