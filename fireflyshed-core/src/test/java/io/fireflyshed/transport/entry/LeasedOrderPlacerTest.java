package io.fireflyshed.transport.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.desk.DeskReply;
import io.fireflyshed.protocol.problem.ProblemException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests {@link LeasedOrderPlacer}. */
public class LeasedOrderPlacerTest {

  /** Tests of a process whose configuration may be outdated. */
  public static class OutdatedConfiguration {

    @Test
    public void refusesOrdersAsNotRunUntilConfigurationIsCurrent() {
      AtomicBoolean isCurrent = new AtomicBoolean();
      AtomicInteger placed = new AtomicInteger();
      LeasedOrderPlacer placer =
          new LeasedOrderPlacer(
              order -> {
                placed.incrementAndGet();
                return new CompletableFuture<>();
              },
              isCurrent::get);
      CompletableFuture<DeskReply> refused = placer.place(null);
      assertTrue(refused.isCompletedExceptionally());
      assertEquals(placed.get(), 0);
      try {
        refused.join();
      } catch (CompletionException e) {
        ProblemException problem = (ProblemException) e.getCause();
        assertEquals(problem.getProblem().outcome(), Outcome.NOT_RUN);
      }
      isCurrent.set(true);
      placer.place(null);
      assertEquals(placed.get(), 1);
    }
  }
}
