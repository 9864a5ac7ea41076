package io.fireflyshed.transport.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.traffic.ClientLimits;
import io.fireflyshed.state.traffic.ConfigurationReading;
import io.fireflyshed.state.traffic.RouteTable;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import io.fireflyshed.state.traffic.TrafficConfigurationSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ConfigurationWatcher} in virtual time against a source that the test answers. */
public class ConfigurationWatcherTest {

  /** A reading that the watcher asked for. */
  record Asked(
      boolean isWhole, long sourceVersion, CompletableFuture<ConfigurationReading> answer) {}

  final List<Asked> asked = new ArrayList<>();
  final List<Long> accepted = new ArrayList<>();
  ManualClock clock;
  ManualScheduler control;
  ConfigurationWatcher watcher;

  /** Starts a watcher. */
  @BeforeMethod
  public void setUp() {
    asked.clear();
    accepted.clear();
    clock = new ManualClock();
    clock.advance(Duration.ofHours(1));
    control = new ManualScheduler(clock);
    TrafficConfigurationSource source =
        new TrafficConfigurationSource() {
          @Override
          public CompletableFuture<ConfigurationReading> read() {
            return ask(true, 0);
          }

          @Override
          public CompletableFuture<ConfigurationReading> await(long sourceVersion, Duration wait) {
            return ask(false, sourceVersion);
          }
        };
    watcher = new ConfigurationWatcher(source, control, clock, c -> accepted.add(c.version()));
    watcher.start();
    control.runDue();
  }

  private CompletableFuture<ConfigurationReading> ask(boolean isWhole, long sourceVersion) {
    Asked reading = new Asked(isWhole, sourceVersion, new CompletableFuture<>());
    asked.add(reading);
    return reading.answer();
  }

  Asked getLast() {
    return asked.get(asked.size() - 1);
  }

  void answer(long sourceVersion, Long version) {
    Optional<TrafficConfiguration> found =
        Optional.ofNullable(version).map(ConfigurationWatcherTest::newConfiguration);
    getLast().answer().complete(new ConfigurationReading(sourceVersion, found));
    control.runDue();
  }

  void fail(Exception error) {
    getLast().answer().completeExceptionally(error);
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

  /** Tests what is known and for how long. */
  public static class Knowledge extends ConfigurationWatcherTest {

    @Test
    public void ageCountsFromBeforeTheReadingWasSent() {
      control.advance(Duration.ofMillis(700));
      answer(10, 3L);
      assertEquals(watcher.getAge(), Duration.ofMillis(700));
    }

    @Test
    public void ageGrowsWhileNothingIsAnswered() {
      answer(10, 3L);
      control.advance(Duration.ofSeconds(5));
      assertEquals(watcher.getAge(), Duration.ofSeconds(5));
    }

    @Test
    public void failedReadingIsRepeatedAndDoesNotCount() {
      answer(10, 3L);
      control.advance(Duration.ofSeconds(1));
      fail(new IllegalStateException("no answer"));
      int before = asked.size();
      control.advance(Duration.ofMillis(200));
      assertEquals(asked.size(), before + 1);
      assertEquals(watcher.getAge(), Duration.ofMillis(1200));
    }

    @Test
    public void olderVersionIsNeverTakenBack() {
      answer(10, 7L);
      fail(new HistoryLostException("read", "store"));
      answer(9, 6L);
      assertEquals(watcher.get().orElseThrow().version(), 7);
      assertEquals(accepted, List.of(7L));
    }
  }

  /** Tests from where readings go on. */
  public static class Readings extends ConfigurationWatcherTest {

    @Test
    public void emptyWaitMovesTheAgeButNotTheVersionToWaitFrom() {
      answer(10, 3L);
      control.advance(Duration.ofMillis(1800));
      answer(50, null);
      assertEquals(watcher.getAge(), Duration.ofMillis(1800));
      assertFalse(getLast().isWhole());
      assertEquals(getLast().sourceVersion(), 10);
    }

    @Test
    public void allIsReadAgainWhenTheHistoryWasDropped() {
      answer(10, 3L);
      fail(new HistoryLostException("await", "store"));
      assertTrue(getLast().isWhole());
    }

    @Test
    public void allIsReadAgainBeforeTheVersionToWaitFromGrowsOld() {
      answer(10, 3L);
      for (int i = 0; i < 6; i++) {
        control.advance(Duration.ofMillis(1800));
        answer(50 + i, null);
      }
      assertTrue(asked.stream().skip(1).anyMatch(Asked::isWhole));
    }
  }
}
