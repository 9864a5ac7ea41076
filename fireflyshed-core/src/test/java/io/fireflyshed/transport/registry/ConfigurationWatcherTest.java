package io.fireflyshed.transport.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.evacuation.EvacuatedZones;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.ManualScheduler;
import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.traffic.ClientLimits;
import io.fireflyshed.state.traffic.ConfigurationReadResult;
import io.fireflyshed.state.traffic.EvacuationChanges;
import io.fireflyshed.state.traffic.RouteTable;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import io.fireflyshed.state.traffic.TrafficConfigurationSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ConfigurationWatcher} in virtual time with a source that the test controls. */
public class ConfigurationWatcherTest {

  /** Holds a read that the watcher requested and the test is to complete. */
  record PendingRead(
      boolean isFullRead, long sourceVersion, CompletableFuture<ConfigurationReadResult> result) {}

  final List<PendingRead> reads = new ArrayList<>();
  final List<Long> acceptedVersions = new ArrayList<>();
  ManualClock clock;
  ManualScheduler control;
  ConfigurationWatcher watcher;
  EvacuatedZones evacuated;
  Consumer<TrafficConfiguration> listener;

  /** Starts a watcher, whose first read remains pending. */
  @BeforeMethod
  public void setUp() {
    reads.clear();
    acceptedVersions.clear();
    clock = new ManualClock();
    clock.advance(Duration.ofHours(1));
    control = new ManualScheduler(clock);
    TrafficConfigurationSource source =
        new TrafficConfigurationSource() {
          @Override
          public CompletableFuture<ConfigurationReadResult> read() {
            return newRead(true, 0);
          }

          @Override
          public CompletableFuture<ConfigurationReadResult> awaitChange(
              long sourceVersion, Duration maxWait) {
            return newRead(false, sourceVersion);
          }
        };
    evacuated = new EvacuatedZones();
    listener = c -> acceptedVersions.add(c.version());
    watcher = new ConfigurationWatcher(source, control, clock, c -> listener.accept(c), evacuated);
    watcher.start();
    control.runDue();
  }

  private CompletableFuture<ConfigurationReadResult> newRead(
      boolean isFullRead, long sourceVersion) {
    PendingRead read = new PendingRead(isFullRead, sourceVersion, new CompletableFuture<>());
    reads.add(read);
    return read.result();
  }

  PendingRead getLastRead() {
    return reads.get(reads.size() - 1);
  }

  void completeRead(long sourceVersion, Long version) {
    Optional<TrafficConfiguration> found =
        Optional.ofNullable(version).map(ConfigurationWatcherTest::newConfiguration);
    getLastRead().result().complete(new ConfigurationReadResult(sourceVersion, found));
    control.runDue();
  }

  void failRead(Exception error) {
    getLastRead().result().completeExceptionally(error);
    control.runDue();
  }

  private static TrafficConfiguration newConfiguration(long version) {
    return new TrafficConfiguration(
        version,
        new RouteTable(List.of()),
        Map.of(),
        Map.of(),
        false,
        new ClientLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1)));
  }

  /** Tests the configuration and its age. */
  public static class AgeTests extends ConfigurationWatcherTest {

    @Test
    public void ageIsMeasuredFromBeforeTheReadWasSent() {
      control.advance(Duration.ofMillis(700));
      completeRead(10, 3L);
      assertEquals(watcher.getAge(), Duration.ofMillis(700));
    }

    @Test
    public void listenerIsNotifiedAfterTheAgeIsKnown() {
      List<Duration> ages = new ArrayList<>();
      listener = c -> ages.add(watcher.getAge());
      control.advance(Duration.ofMillis(700));
      completeRead(10, 3L);
      assertEquals(ages, List.of(Duration.ofMillis(700)));
    }

    @Test
    public void ageGrowsWhileNoReadCompletes() {
      completeRead(10, 3L);
      control.advance(Duration.ofSeconds(5));
      assertEquals(watcher.getAge(), Duration.ofSeconds(5));
    }

    @Test
    public void failedReadIsRetriedAndDoesNotResetTheAge() {
      completeRead(10, 3L);
      control.advance(Duration.ofSeconds(1));
      failRead(new IllegalStateException("no response"));
      int readsBefore = reads.size();
      control.advance(Duration.ofMillis(200));
      assertEquals(reads.size(), readsBefore + 1);
      assertEquals(watcher.getAge(), Duration.ofMillis(1200));
    }

    @Test
    public void olderVersionIsNotAccepted() {
      completeRead(10, 7L);
      failRead(new HistoryLostException("read", "store"));
      completeRead(9, 6L);
      assertEquals(watcher.get().orElseThrow().version(), 7);
      assertEquals(acceptedVersions, List.of(7L));
    }
  }

  /** Tests which read or wait follows a previous one. */
  public static class ReadTests extends ConfigurationWatcherTest {

    @Test
    public void configurationIsFollowedAfterAListenerFailed() {
      listener =
          configuration -> {
            throw new IllegalStateException("listener failed");
          };
      completeRead(10, 3L);
      evacuated = new EvacuatedZones();
      listener = c -> acceptedVersions.add(c.version());
      control.advance(Duration.ofMillis(200));
      assertTrue(getLastRead().isFullRead());
      completeRead(11, 4L);
      assertEquals(acceptedVersions, List.of(4L));
    }

    @Test
    public void waitWithoutChangeResetsTheAgeButKeepsTheVersion() {
      completeRead(10, 3L);
      control.advance(Duration.ofMillis(1800));
      completeRead(50, null);
      assertEquals(watcher.getAge(), Duration.ofMillis(1800));
      assertFalse(getLastRead().isFullRead());
      assertEquals(getLastRead().sourceVersion(), 10);
    }

    @Test
    public void fullReadFollowsDroppedHistory() {
      completeRead(10, 3L);
      failRead(new HistoryLostException("await", "store"));
      assertTrue(getLastRead().isFullRead());
    }

    @Test
    public void fullReadFollowsWaitsWithoutChangeInTime() {
      completeRead(10, 3L);
      for (int i = 0; i < 6; i++) {
        control.advance(Duration.ofMillis(1800));
        completeRead(50 + i, null);
      }
      assertTrue(reads.stream().skip(1).anyMatch(PendingRead::isFullRead));
    }
  }

  /** Tests the evacuated zones. */
  public static class EvacuationTests extends ConfigurationWatcherTest {

    private static final AvailabilityZone ZONE = new AvailabilityZone("a");

    private void completeRead(long sourceVersion, boolean isWhole, AvailabilityZone... zones) {
      getLastRead()
          .result()
          .complete(
              new ConfigurationReadResult(
                  sourceVersion,
                  Optional.empty(),
                  new EvacuationChanges(isWhole, Set.of(zones), Set.of())));
      control.runDue();
    }

    @Test
    public void nextWaitStartsAfterAChangeOfTheZones() {
      completeRead(10, true);
      completeRead(20, false, ZONE);
      assertEquals(evacuated.get(), Set.of(ZONE));
      assertEquals(getLastRead().sourceVersion(), 20);
    }

    @Test
    public void zoneStaysEvacuatedWhileTheSourceIsLost() {
      completeRead(10, true, ZONE);
      failRead(new IllegalStateException("unavailable"));
      control.advance(Duration.ofMinutes(1));
      assertTrue(evacuated.contains(ZONE));
    }

    @Test
    public void fullReadShowsTheEndOfAnEvacuationWhoseNotificationWasDropped() {
      completeRead(10, true, ZONE);
      failRead(new HistoryLostException("await", "store"));
      completeRead(30, true);
      assertEquals(evacuated.get(), Set.of());
      assertEquals(evacuated.getEndNanos(ZONE).orElseThrow(), clock.nanoTime());
    }
  }
}
