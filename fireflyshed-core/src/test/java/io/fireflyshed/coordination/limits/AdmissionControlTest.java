package io.fireflyshed.coordination.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.limits.AdmissionControl.Verdict;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.peer.PeerId;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link AdmissionControl}. */
public class AdmissionControlTest {

  private static final Duration LEASE = Duration.ofSeconds(3);
  private static final Duration MAX_WAIT = Duration.ofSeconds(2);
  private static final Duration RUN_TIME = Duration.ofSeconds(1);
  private static final PeerId SELF = new PeerId("p0");

  /** An admission control without peers, started long enough ago to use its whole share. */
  private static final class Harness {

    private final ManualClock clock = new ManualClock();
    private final AdmissionControl<String> control;

    Harness(int capacity, int maxQueued, AccountLimit... limits) {
      LimitSettings settings =
          LimitSettings.of(List.of(limits), 1, LEASE, RUN_TIME, MAX_WAIT, maxQueued);
      control = new AdmissionControl<>(SELF, settings, clock.nanoTime());
      control.setCapacity(capacity);
      clock.advance(Duration.ofSeconds(10));
      tick();
    }

    void offer(String account, String request) {
      control.offer(account, 0, MAX_WAIT, request, clock.nanoTime());
    }

    List<Verdict<String>> poll() {
      return control.poll(clock.nanoTime());
    }

    long countStarted() {
      return poll().stream().filter(v -> v.refusal().isEmpty()).count();
    }

    void tick() {
      control.tick(List.of(), clock.nanoTime());
    }
  }

  /** Tests of account limits. */
  public static class Limits {

    @Test
    public void refusesRequestsThatTheRateLimitCannotStartInTime() {
      Harness harness = new Harness(1_000, 1_000, new AccountLimit("a", 1, 10, 0));
      harness.poll();
      harness.clock.advance(Duration.ofSeconds(1));
      for (int i = 0; i < 100; i++) {
        harness.offer("a", "r" + i);
      }
      List<Verdict<String>> verdicts = harness.poll();
      assertEquals(verdicts.stream().filter(v -> v.refusal().isEmpty()).count(), 10, 1);
      Refusal first =
          verdicts.stream().flatMap(v -> v.refusal().stream()).findFirst().orElseThrow();
      assertEquals(first.reason(), Refusal.Reason.LIMITED);
      assertTrue(first.retryAfter().compareTo(MAX_WAIT) >= 0);
      assertEquals(harness.control.getQueuedCount(), 20, 1);
    }

    @Test
    public void startsNoMoreThanTheConcurrencyLimit() {
      Harness harness = new Harness(1_000, 1_000, new AccountLimit("a", 1, 0, 3));
      for (int i = 0; i < 5; i++) {
        harness.offer("a", "r" + i);
      }
      assertEquals(harness.countStarted(), 3);
      harness.control.end("a", RUN_TIME);
      assertEquals(harness.countStarted(), 1);
    }
  }

  /** Tests of capacity, deadlines and the queue bound. */
  public static class Shedding {

    @Test
    public void servesASmallAccountBesideAFloodOfAnother() {
      Harness harness = new Harness(1, 1_000);
      for (int i = 0; i < 50; i++) {
        harness.offer("large", "l" + i);
      }
      harness.offer("small", "s");
      assertEquals(harness.poll().get(0).request(), "l0");
      harness.control.end("large", RUN_TIME);
      assertEquals(harness.poll().get(0).request(), "s");
    }

    @Test
    public void refusesAtOnceRequestsThatCapacityCannotStartInTime() {
      Harness harness = new Harness(1, 1_000);
      for (int i = 0; i < 10; i++) {
        harness.offer("a", "warm" + i);
        harness.poll();
        harness.clock.advance(Duration.ofMillis(500));
        harness.control.end("a", Duration.ofMillis(500));
        harness.tick();
      }
      for (int i = 0; i < 20; i++) {
        harness.offer("a", "r" + i);
      }
      List<Verdict<String>> verdicts = harness.poll();
      long refused = verdicts.stream().filter(v -> v.refusal().isPresent()).count();
      assertTrue(refused >= 14 && refused <= 17, "refused requests: " + refused);
    }

    @Test
    public void refusesAWaitingRequestWhoseDeadlineHasPassed() {
      Harness harness = new Harness(1, 1_000);
      harness.offer("a", "runs");
      harness.offer("a", "waits");
      harness.poll();
      harness.clock.advance(MAX_WAIT);
      harness.tick();
      List<Verdict<String>> verdicts = harness.poll();
      assertEquals(verdicts.size(), 1);
      assertTrue(verdicts.get(0).refusal().isPresent());
    }

    @Test
    public void evictsFromTheLongestQueueWhenFull() {
      Harness harness = new Harness(1, 4);
      for (int i = 0; i < 5; i++) {
        harness.offer("large", "l" + i);
        harness.poll();
      }
      harness.offer("small", "s");
      List<Verdict<String>> verdicts = harness.poll();
      assertEquals(verdicts.get(0).request(), "l4");
      assertEquals(verdicts.get(0).refusal().orElseThrow().reason(), Refusal.Reason.QUEUE_FULL);
      harness.offer("large", "l5");
      assertEquals(harness.poll().get(0).request(), "l5");
    }

    @Test
    public void removesACancelledRequest() {
      Harness harness = new Harness(1, 4);
      harness.offer("a", "runs");
      harness.poll();
      harness.offer("a", "cancelled");
      assertTrue(harness.control.cancel("cancelled"));
      assertFalse(harness.control.cancel("cancelled"));
      harness.control.end("a", RUN_TIME);
      assertEquals(harness.countStarted(), 0);
    }
  }

  /** Tests of the example in the Javadoc. */
  public static class Example {

    @Test
    public void runs() {
      ManualClock clock = new ManualClock();
      LimitSettings settings = LimitSettings.of(List.of(), 9, LEASE, RUN_TIME, MAX_WAIT, 100);
      AdmissionControl<String> control = new AdmissionControl<>(SELF, settings, clock.nanoTime());
      control.setCapacity(100);
      control.offer("salon", 0, Duration.ofSeconds(2), "request-1", clock.nanoTime());
      List<AdmissionControl.Verdict<String>> verdicts = control.poll(clock.nanoTime());
      control.end("salon", Duration.ofMillis(800));
      assertTrue(verdicts.get(0).refusal().isEmpty());
      assertEquals(control.getRunningCount(), 0);
    }
  }
}
