package io.fireflyshed.coordination.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.replica.ReplicaId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link PoisonList}. */
public class PoisonListTest {

  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final ReplicaId FIRST = new ReplicaId("r1");
  private static final ReplicaId SECOND_REPLICA = new ReplicaId("r2");
  private static final ReplicaId THIRD = new ReplicaId("r3");

  private PoisonList list;

  /** Creates an empty list. */
  @BeforeMethod
  public void setUp() {
    list = new PoisonList(PoisonSettings.ofDefaults());
  }

  private void crash(ReplicaId replica, long atSeconds, String... fingerprints) {
    for (String fingerprint : fingerprints) {
      list.onCrash(fingerprint, replica, 1, atSeconds * SECOND);
    }
  }

  private PoisonVerdict verdict(String fingerprint, long atSeconds) {
    return list.getVerdict(fingerprint, atSeconds * SECOND);
  }

  @Test
  public void runsTheExample() {
    PoisonList list = new PoisonList(PoisonSettings.ofDefaults());
    list.onCrash("bad", new ReplicaId("r1"), 1, 0);
    list.onCrash("innocent", new ReplicaId("r1"), 1, 0);
    list.onCompleted("innocent");
    list.onCrash("bad", new ReplicaId("r2"), 1, 5_000_000_000L);
    PoisonVerdict verdict = list.getVerdict("bad", 6_000_000_000L); // REFUSED
    assertEquals(verdict, PoisonVerdict.REFUSED);
  }

  @Test
  public void suspectsAllThatRanInTheFirstCrash() {
    crash(FIRST, 0, "bad", "innocent");
    assertEquals(verdict("bad", 1), PoisonVerdict.SUSPECTED);
    assertEquals(verdict("innocent", 1), PoisonVerdict.SUSPECTED);
    assertEquals(verdict("other", 1), PoisonVerdict.CLEAR);
  }

  @Test
  public void oneCrashToldTwiceCountsOnce() {
    crash(FIRST, 0, "bad");
    assertFalse(list.onCrash("bad", FIRST, 1, SECOND));
    assertEquals(verdict("bad", 2), PoisonVerdict.SUSPECTED);
  }

  @Test
  public void bystandersOfTheCulpritAreClear() {
    crash(FIRST, 0, "bad", "innocent");
    crash(SECOND_REPLICA, 5, "bad", "fresh");
    assertEquals(verdict("bad", 6), PoisonVerdict.REFUSED);
    assertEquals(verdict("innocent", 6), PoisonVerdict.CLEAR);
    assertEquals(verdict("fresh", 6), PoisonVerdict.CLEAR);
    assertEquals(list.getEntries(6 * SECOND).size(), 1);
  }

  @Test
  public void twoSuspectsInOneCrashAreNotRefused() {
    crash(FIRST, 0, "bad", "innocent");
    crash(SECOND_REPLICA, 5, "bad", "innocent");
    assertNotEquals(verdict("innocent", 6), PoisonVerdict.REFUSED);
    assertEquals(verdict("bad", 6), PoisonVerdict.SUSPECTED);
    crash(THIRD, 9, "bad");
    assertEquals(verdict("bad", 10), PoisonVerdict.REFUSED);
    assertNotEquals(verdict("innocent", 10), PoisonVerdict.REFUSED);
  }

  @Test
  public void outageBlamesNobody() {
    crash(FIRST, 0, "a");
    crash(SECOND_REPLICA, 60, "a", "b");
    crash(THIRD, 60, "c");
    crash(new ReplicaId("r4"), 60, "d");
    assertEquals(verdict("b", 61), PoisonVerdict.CLEAR);
    assertNotEquals(verdict("a", 61), PoisonVerdict.REFUSED);
  }

  @Test
  public void requestThatCrashesManyReplicasAtOnceIsNoOutage() {
    crash(FIRST, 0, "bad");
    crash(SECOND_REPLICA, 0, "bad");
    crash(THIRD, 0, "bad");
    assertEquals(verdict("bad", 1), PoisonVerdict.REFUSED);
  }

  @Test
  public void forgetsInTimeAndWhenCleared() {
    long expiry = PoisonSettings.ofDefaults().expiry().toSeconds();
    crash(FIRST, 0, "bad", "other");
    crash(SECOND_REPLICA, 5, "bad");
    assertTrue(list.onCompleted("other"));
    assertEquals(verdict("bad", expiry + 1), PoisonVerdict.SUSPECTED);
    assertEquals(verdict("bad", expiry + 6), PoisonVerdict.CLEAR);
    assertTrue(list.isEmpty());
  }

  @Test
  public void waitsForTheNoticesOfPeers() {
    crash(FIRST, 0, "bad", "innocent");
    crash(SECOND_REPLICA, 5, "innocent");
    assertEquals(verdict("innocent", 5), PoisonVerdict.UNDECIDED);
    crash(SECOND_REPLICA, 5, "bad");
    assertEquals(verdict("innocent", 6), PoisonVerdict.SUSPECTED);
  }

  @Test
  public void isolatesSuspectsFromEachOther() {
    List<ReplicaId> replicas = List.of(SECOND_REPLICA, THIRD);
    crash(FIRST, 0, "a", "b", "c");
    ReplicaId first = list.isolate("a", replicas, SECOND).orElseThrow();
    ReplicaId second = list.isolate("b", replicas, SECOND).orElseThrow();
    assertNotEquals(first, second);
    assertEquals(list.isolate("c", replicas, SECOND), Optional.empty());
    list.onCompleted("a");
    assertTrue(list.isolate("c", replicas, SECOND).isPresent());
  }
}
