package io.fireflyshed.transport.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.order.OrderSettings;
import io.fireflyshed.protocol.desk.DeskReply;
import io.fireflyshed.protocol.desk.PlainService;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.fireflyshed.standins.platform.InMemoryTableService;
import io.fireflyshed.standins.platform.StoreFault;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.ServiceName;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Tests {@link ClaimingOrderPlacer} against an in-memory table service. */
public class ClaimingOrderPlacerTest {

  private static final ServiceName DESK = new ServiceName("desk");
  private static final int WAIT_SECONDS = 30;

  private final InMemoryTableService table = new InMemoryTableService();
  private final List<String> runs = new ArrayList<>();
  private final List<ClaimingOrderPlacer> placers = new ArrayList<>();
  private Outcome failureOutcome;

  private final PlainService desk =
      new PlainService() {
        @Override
        public CompletableFuture<DeskReply> order(InstanceRecord target, String key, String body) {
          synchronized (runs) {
            if (failureOutcome != null) {
              return CompletableFuture.failedFuture(
                  new AttemptException("order", "desk", failureOutcome, "broken", null));
            }
            runs.add(key);
            return CompletableFuture.completedFuture(new DeskReply(201, "run " + runs.size()));
          }
        }

        @Override
        public CompletableFuture<DeskReply> lookup(InstanceRecord target, String key) {
          return CompletableFuture.failedFuture(new UnsupportedOperationException());
        }
      };

  private ClaimingOrderPlacer newPlacer() {
    ClaimingOrderPlacer placer =
        new ClaimingOrderPlacer(
            OrderSettings.ofDefaults(), "p" + placers.size(), table, desk, MonotonicClock.system());
    placers.add(placer);
    return placer;
  }

  private static OrderRequest newOrder(String key, String body) {
    InstanceRecord target =
        new InstanceRecord(
            new InstanceId("d1"),
            InetSocketAddress.createUnresolved("127.0.0.1", 1),
            new AvailabilityZone("a"),
            new FabricDomain("f"),
            0,
            false,
            Optional.of(DESK));
    return new OrderRequest("salon", DESK, key, body, List.of(target));
  }

  private static DeskReply place(ClaimingOrderPlacer placer, String key, String body)
      throws Exception {
    return placer.place(newOrder(key, body)).get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  private static Problem placeAndFail(ClaimingOrderPlacer placer, String key, String body) {
    ExecutionException error =
        expectThrows(ExecutionException.class, () -> place(placer, key, body));
    return ((ProblemException) error.getCause()).getProblem();
  }

  private static void awaitRecorded(ClaimingOrderPlacer placer) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (placer.countOpen().get(WAIT_SECONDS, TimeUnit.SECONDS) > 0) {
      assertEquals(System.nanoTime() < deadline, true, "the results were not recorded");
      Thread.onSpinWait();
    }
  }

  /** Stops the placers. */
  @AfterMethod
  public void close() {
    placers.forEach(ClaimingOrderPlacer::close);
    placers.clear();
    runs.clear();
    failureOutcome = null;
    table.setFault(StoreFault.NONE);
  }

  @Test
  public void repeatedOrderOnAnotherProcessGetsTheRecordedResult() throws Exception {
    ClaimingOrderPlacer first = newPlacer();
    assertEquals(place(first, "k1", "body").body(), "run 1");
    awaitRecorded(first);
    ClaimingOrderPlacer second = newPlacer();
    assertEquals(place(second, "k1", "body").body(), "run 1");
    assertEquals(placeAndFail(second, "k1", "other").status(), 422);
    assertEquals(runs.size(), 1);
  }

  @Test
  public void orderIsRefusedAsNotRunWhileTheStoreIsDown() {
    table.setFault(StoreFault.DOWN);
    Problem problem = placeAndFail(newPlacer(), "k2", "body");
    assertEquals(problem.status(), 503);
    assertEquals(problem.outcome(), Outcome.NOT_RUN);
    assertEquals(problem.retryAfterSeconds().isPresent(), true);
    assertEquals(runs.size(), 0);
  }

  @Test
  public void orderRunsAfterALostResponseOfTheStore() throws Exception {
    table.setFault(StoreFault.LOST_ANSWER);
    assertEquals(place(newPlacer(), "k3", "body").body(), "run 1");
    assertEquals(runs.size(), 1);
  }

  @Test
  public void notRunOutcomeFreesTheClaim() throws Exception {
    failureOutcome = Outcome.NOT_RUN;
    ClaimingOrderPlacer first = newPlacer();
    assertEquals(placeAndFail(first, "k4", "body").outcome(), Outcome.NOT_RUN);
    awaitRecorded(first);
    synchronized (runs) {
      failureOutcome = null;
    }
    assertEquals(place(newPlacer(), "k4", "body").body(), "run 1");
  }

  @Test
  public void orderWithUnknownOutcomeIsNeverSentAgain() throws Exception {
    failureOutcome = Outcome.UNKNOWN;
    ClaimingOrderPlacer first = newPlacer();
    assertEquals(placeAndFail(first, "k5", "body").outcome(), Outcome.UNKNOWN);
    awaitRecorded(first);
    synchronized (runs) {
      failureOutcome = null;
    }
    assertEquals(placeAndFail(newPlacer(), "k5", "body").outcome(), Outcome.UNKNOWN);
    assertEquals(runs.size(), 0);
  }
}
