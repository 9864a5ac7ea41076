package io.fireflyshed.coordination.queue;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.queue.FairQueue.Place;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests {@link FairQueue}. */
public class FairQueueTest {

  private static List<String> pollAll(FairQueue<String> queue) {
    List<String> polled = new ArrayList<>();
    Optional<Place<String>> next = queue.poll(flow -> true);
    while (next.isPresent()) {
      polled.add(next.get().item());
      next = queue.poll(flow -> true);
    }
    return polled;
  }

  private static void addMany(FairQueue<String> queue, String flow, double weight, int count) {
    for (int i = 0; i < count; i++) {
      queue.add(flow, weight, 0, flow + i);
    }
  }

  /** Tests of the order between flows. */
  public static class Flows {

    @Test
    public void servesASmallFlowBeforeTheBacklogOfALargeOne() {
      FairQueue<String> queue = new FairQueue<>();
      queue.add("large", 1, 0, "first");
      queue.add("large", 1, 0, "second");
      queue.add("small", 1, 0, "third");
      assertEquals(pollAll(queue), List.of("first", "third", "second"));
    }

    @Test
    public void servesInProportionToWeights() {
      FairQueue<String> queue = new FairQueue<>();
      addMany(queue, "a", 3, 300);
      addMany(queue, "b", 1, 300);
      List<String> first = pollAll(queue).subList(0, 200);
      assertEquals(first.stream().filter(s -> s.startsWith("a")).count(), 150, 2);
    }

    @Test
    public void givesNoCreditForIdleTime() {
      FairQueue<String> queue = new FairQueue<>();
      addMany(queue, "a", 1, 100);
      for (int i = 0; i < 50; i++) {
        queue.poll(flow -> true);
      }
      addMany(queue, "b", 1, 100);
      List<String> next = pollAll(queue).subList(0, 20);
      assertEquals(next.stream().filter(s -> s.startsWith("b")).count(), 10, 1);
    }

    @Test
    public void skipsFlowsThatAreNotEligible() {
      FairQueue<String> queue = new FairQueue<>();
      addMany(queue, "a", 1, 2);
      addMany(queue, "b", 1, 1);
      assertEquals(queue.poll("b"::equals).orElseThrow().item(), "b0");
      assertTrue(queue.poll("b"::equals).isEmpty());
      assertEquals(queue.size(), 2);
    }
  }

  /** Tests of the order within a flow and of removal. */
  public static class Places {

    @Test
    public void servesHigherPrioritiesFirstThenEarlierArrivals() {
      FairQueue<String> queue = new FairQueue<>();
      queue.add("a", 1, 0, "low");
      queue.add("a", 1, 5, "high");
      queue.add("a", 1, 5, "high-later");
      assertEquals(queue.getAhead("a", 5), 2);
      assertEquals(queue.getAhead("a", 9), 0);
      assertEquals(pollAll(queue), List.of("high", "high-later", "low"));
    }

    @Test
    public void dropsRemovedItems() {
      FairQueue<String> queue = new FairQueue<>();
      Place<String> place = queue.add("a", 1, 0, "gone");
      assertTrue(queue.remove(place));
      assertFalse(queue.remove(place));
      assertEquals(pollAll(queue), Collections.emptyList());
      assertEquals(queue.getPart("b", 2), 1.0);
    }

    @Test
    public void findsTheLastItemOfTheLongestFlow() {
      FairQueue<String> queue = new FairQueue<>();
      addMany(queue, "a", 4, 4);
      addMany(queue, "b", 1, 2);
      assertEquals(queue.findLastOfLongest().orElseThrow().item(), "b1");
    }
  }
}
