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

  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final ReplicaId FIRST_REPLICA = new ReplicaId("r1");
  private static final ReplicaId SECOND_REPLICA = new ReplicaId("r2");
  private static final ReplicaId THIRD_REPLICA = new ReplicaId("r3");

  private PoisonList list;

  @BeforeMethod
  public void setUp() {
    list = new PoisonList(PoisonSettings.ofDefaults());
  }

  private void recordCrash(ReplicaId replica, long atSeconds, String... fingerprints) {
    for (String fingerprint : fingerprints) {
      list.onCrash(fingerprint, replica, 1, atSeconds * SECOND_NANOS);
    }
  }

  private PoisonVerdict getVerdict(String fingerprint, long atSeconds) {
    return list.getVerdict(fingerprint, atSeconds * SECOND_NANOS);
  }

  @Test
  public void runsTheExampleInTheJavadoc() {
    PoisonList list = new PoisonList(PoisonSettings.ofDefaults());
    list.onCrash("bad", new ReplicaId("r1"), 1, 0);
    list.onCrash("innocent", new ReplicaId("r1"), 1, 0);
    list.onCompleted("innocent");
    list.onCrash("bad", new ReplicaId("r2"), 1, 5_000_000_000L);
    PoisonVerdict verdict = list.getVerdict("bad", 6_000_000_000L); // REFUSED
    assertEquals(verdict, PoisonVerdict.REFUSED);
  }

  @Test
  public void suspectsAllRequestsThatRanInTheFirstCrash() {
    recordCrash(FIRST_REPLICA, 0, "bad", "innocent");
    assertEquals(getVerdict("bad", 1), PoisonVerdict.SUSPECTED);
    assertEquals(getVerdict("innocent", 1), PoisonVerdict.SUSPECTED);
    assertEquals(getVerdict("other", 1), PoisonVerdict.CLEAR);
  }

  @Test
  public void crashReportedTwiceCountsOnce() {
    recordCrash(FIRST_REPLICA, 0, "bad");
    assertFalse(list.onCrash("bad", FIRST_REPLICA, 1, SECOND_NANOS));
    assertEquals(getVerdict("bad", 2), PoisonVerdict.SUSPECTED);
  }

  @Test
  public void requestsThatRanBesideTheCulpritAreClear() {
    recordCrash(FIRST_REPLICA, 0, "bad", "innocent");
    recordCrash(SECOND_REPLICA, 5, "bad", "fresh");
    assertEquals(getVerdict("bad", 6), PoisonVerdict.REFUSED);
    assertEquals(getVerdict("innocent", 6), PoisonVerdict.CLEAR);
    assertEquals(getVerdict("fresh", 6), PoisonVerdict.CLEAR);
    assertEquals(list.getEntries(6 * SECOND_NANOS).size(), 1);
  }

  @Test
  public void twoSuspectsInOneCrashAreNotRefused() {
    recordCrash(FIRST_REPLICA, 0, "bad", "innocent");
    recordCrash(SECOND_REPLICA, 5, "bad", "innocent");
    assertNotEquals(getVerdict("innocent", 6), PoisonVerdict.REFUSED);
    assertEquals(getVerdict("bad", 6), PoisonVerdict.SUSPECTED);
    recordCrash(THIRD_REPLICA, 9, "bad");
    assertEquals(getVerdict("bad", 10), PoisonVerdict.REFUSED);
    assertNotEquals(getVerdict("innocent", 10), PoisonVerdict.REFUSED);
  }

  @Test
  public void noRequestIsBlamedForAnOutage() {
    recordCrash(FIRST_REPLICA, 0, "a");
    recordCrash(SECOND_REPLICA, 60, "a", "b");
    recordCrash(THIRD_REPLICA, 60, "c");
    recordCrash(new ReplicaId("r4"), 60, "d");
    assertEquals(getVerdict("b", 61), PoisonVerdict.CLEAR);
    assertNotEquals(getVerdict("a", 61), PoisonVerdict.REFUSED);
  }

  @Test
  public void severalCrashesOfOneRequestAreNoOutage() {
    recordCrash(FIRST_REPLICA, 0, "bad");
    recordCrash(SECOND_REPLICA, 0, "bad");
    recordCrash(THIRD_REPLICA, 0, "bad");
    assertEquals(getVerdict("bad", 1), PoisonVerdict.REFUSED);
  }

  @Test
  public void forgetsAfterTheExpiryAndWhenCleared() {
    long expirySeconds = PoisonSettings.ofDefaults().expiry().toSeconds();
    recordCrash(FIRST_REPLICA, 0, "bad", "other");
    recordCrash(SECOND_REPLICA, 5, "bad");
    assertTrue(list.onCompleted("other"));
    assertEquals(getVerdict("bad", expirySeconds + 1), PoisonVerdict.SUSPECTED);
    assertEquals(getVerdict("bad", expirySeconds + 6), PoisonVerdict.CLEAR);
    assertTrue(list.isEmpty());
  }

  @Test
  public void waitsForTheNoticesOfPeers() {
    recordCrash(FIRST_REPLICA, 0, "bad", "innocent");
    recordCrash(SECOND_REPLICA, 5, "innocent");
    assertEquals(getVerdict("innocent", 5), PoisonVerdict.UNDECIDED);
    recordCrash(SECOND_REPLICA, 5, "bad");
    assertEquals(getVerdict("innocent", 6), PoisonVerdict.SUSPECTED);
  }

  @Test
  public void isolatesSuspectsFromEachOther() {
    List<ReplicaId> replicas = List.of(SECOND_REPLICA, THIRD_REPLICA);
    recordCrash(FIRST_REPLICA, 0, "a", "b", "c");
    ReplicaId first = list.isolate("a", replicas, SECOND_NANOS).orElseThrow();
    ReplicaId second = list.isolate("b", replicas, SECOND_NANOS).orElseThrow();
    assertNotEquals(first, second);
    assertEquals(list.isolate("c", replicas, SECOND_NANOS), Optional.empty());
    list.onCompleted("a");
    assertTrue(list.isolate("c", replicas, SECOND_NANOS).isPresent());
  }
}
