package io.fireflyshed.transport.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link FairTurns}. */
public class FairTurnsTest {

  private static final int QUANTUM = 10;
  private static final int TURN_LIMIT = 50;

  private final Queue<Runnable> nextTurn = new ArrayDeque<>();
  private final List<String> log = new ArrayList<>();
  private FairTurns turns;

  /** Begins with a round without members. */
  @BeforeMethod
  public void setUp() {
    nextTurn.clear();
    log.clear();
    turns = new FairTurns(QUANTUM, TURN_LIMIT, nextTurn::add);
  }

  /** Works on pieces of the same cost. */
  private final class Source implements FairTurns.Member {
    private final FairTurns.Slot slot = new FairTurns.Slot(this);
    private final String name;
    private final int cost;
    private int left;

    Source(String name, int cost, int left) {
      this.name = name;
      this.cost = cost;
      this.left = left;
    }

    @Override
    public int work(int limit) {
      int done = 0;
      while (done < limit && left > 0) {
        log.add(name);
        left--;
        done += cost;
      }
      return done;
    }

    @Override
    public boolean hasWork() {
      return left > 0;
    }
  }

  private Source add(String name, int cost, int left) {
    Source source = new Source(name, cost, left);
    turns.add(source.slot);
    return source;
  }

  private void runTurn() {
    nextTurn.remove().run();
  }

  private void runAll() {
    while (!nextTurn.isEmpty()) {
      runTurn();
    }
  }

  @Test
  public void workStartsAtOnceWhenNothingWaits() {
    add("a", 1, 3);
    assertEquals(log, List.of("a", "a", "a"));
  }

  @Test
  public void oneTurnDoesABoundedAmountOfWork() {
    add("a", 1, 1000);
    for (int i = 0; i < 20; i++) {
      add("b", 1, 1000);
    }
    assertTrue(log.size() <= TURN_LIMIT, "" + log.size());
    log.clear();
    runTurn();
    assertTrue(log.size() <= TURN_LIMIT + QUANTUM, "" + log.size());
    assertEquals(nextTurn.size(), 1);
  }

  @Test
  public void smallWorkIsDoneAfterAQuantumOfEachOther() {
    for (int i = 0; i < 20; i++) {
      add("crowd", 1, 1000);
    }
    log.clear();
    Source small = add("small", 1, 1);
    while (small.left > 0) {
      runTurn();
    }
    assertTrue(log.indexOf("small") <= 20 * QUANTUM, "" + log.indexOf("small"));
  }

  @Test
  public void costOfLargePiecesIsPaidBeforeMoreWork() {
    add("large", 100, 4);
    add("small", 1, 200);
    runAll();
    assertTrue(log.indexOf("large") < log.indexOf("small"));
    int second = log.subList(1, log.size()).indexOf("large");
    assertTrue(second >= 80, "second large piece after " + second);
    assertEquals(log.size(), 204);
  }

  @Test
  public void endedMembersLeaveNothingBehind() {
    Source a = add("a", 1, 1000);
    add("b", 1, 30);
    a.left = 0;
    runAll();
    assertEquals(log.stream().filter("b"::equals).count(), 30);
    assertTrue(nextTurn.isEmpty());
  }
}
