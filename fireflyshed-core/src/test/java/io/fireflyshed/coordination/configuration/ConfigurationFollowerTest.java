package io.fireflyshed.coordination.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.peer.PeerId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Tests {@link ConfigurationFollower}. */
public class ConfigurationFollowerTest {

  private static final long LEASE = Duration.ofSeconds(3).toNanos();
  private static final long WAIT = Duration.ofSeconds(1).toNanos();
  private static final PeerId SELF = new PeerId("p5");
  private static final PeerId FIRST = new PeerId("p1");
  private static final PeerId SECOND = new PeerId("p2");

  private static ConfigurationRecord newRecord(long version) {
    return new ConfigurationRecord(version, "a" + version, "ann", "d" + version, "change");
  }

  private static ConfigurationFollower newFollower() {
    return new ConfigurationFollower(
        SELF, FollowerSettings.ofDefaults(), RandomSource.XO_RO_SHI_RO_128_PP.create(1), 0);
  }

  private static ConfigurationFollower newCurrent(long version) {
    ConfigurationFollower follower = newFollower();
    follower.onHead(Optional.of(newRecord(version)), 0);
    follower.onBody(newRecord(version));
    return follower;
  }

  private static PeerAnswer newAnswer(long version, OptionalLong age) {
    return new PeerAnswer(Optional.of(newRecord(version)), age);
  }

  private static List<FollowerAction> fetchOf(long version, PeerId source) {
    return List.of(new FollowerAction.FetchBody(newRecord(version), Optional.ofNullable(source)));
  }

  /** Tests of a process that is cut off. */
  public static class CutOff {

    @Test
    public void keepsItsVersionAndKnowsThatItMayBeBehind() {
      ConfigurationFollower follower = newCurrent(7);
      assertTrue(follower.isCurrent(LEASE - 1));
      assertFalse(follower.isCurrent(LEASE));
      assertEquals(follower.getInForce(), Optional.of(newRecord(7)));
    }

    @Test
    public void isNotRenewedByAPeerThatIsCutOffToo() {
      ConfigurationFollower follower = newCurrent(7);
      long asked = LEASE - 10;
      follower.onAnswer(FIRST, newAnswer(7, OptionalLong.of(LEASE - 10)), asked);
      assertFalse(follower.isCurrent(LEASE));
    }

    @Test
    public void asksAnotherZoneWhenItsEvidenceGetsOld() {
      ConfigurationFollower follower = newCurrent(7);
      List<FollowerAction> early = follower.onTick(List.of(), List.of(FIRST), 1);
      assertFalse(early.contains(new FollowerAction.AskPeer(FIRST)), early.toString());
      List<FollowerAction> late = follower.onTick(List.of(), List.of(FIRST), LEASE / 2);
      assertTrue(late.contains(new FollowerAction.AskPeer(FIRST)), late.toString());
    }

    @Test
    public void isRenewedByFreshEvidenceOfAPeer() {
      ConfigurationFollower follower = newCurrent(7);
      follower.onAnswer(FIRST, newAnswer(7, OptionalLong.of(1_000)), LEASE);
      assertTrue(follower.isCurrent(2 * LEASE - 1_001 - 1));
      assertFalse(follower.isCurrent(2 * LEASE - 1_001));
    }
  }

  /** Tests of a process whose lease has run out. */
  public static class Lapsed {

    @Test
    public void adoptsTheNewerVersionBeforeItsLeaseHoldsAgain() {
      ConfigurationFollower follower = newCurrent(7);
      assertEquals(follower.onHead(Optional.of(newRecord(9)), 2 * LEASE), fetchOf(9, null));
      assertFalse(follower.isCurrent(2 * LEASE));
      follower.onBody(newRecord(9));
      assertTrue(follower.isCurrent(2 * LEASE));
    }

    @Test
    public void doesNotTakeALowerVersion() {
      ConfigurationFollower follower = newCurrent(7);
      assertEquals(follower.onAnswer(FIRST, newAnswer(6, OptionalLong.empty()), 1), List.of());
      assertEquals(follower.onBody(newRecord(6)), List.of());
      assertEquals(follower.getInForce(), Optional.of(newRecord(7)));
    }

    @Test
    public void triesAnotherSourceAfterAFailedFetch() {
      ConfigurationFollower follower = newCurrent(7);
      PeerAnswer answer = newAnswer(8, OptionalLong.empty());
      assertEquals(follower.onAnswer(FIRST, answer, 1), fetchOf(8, FIRST));
      follower.onFetchFailed();
      List<FollowerAction> actions = follower.onTick(List.of(FIRST, SECOND), List.of(), 2);
      assertTrue(actions.containsAll(fetchOf(8, null)), actions.toString());
    }
  }

  /** Tests of a process that replaces another. */
  public static class Replaced {

    @Test
    public void takesTheHighestThatItsPeersHold() {
      ConfigurationFollower follower = newFollower();
      follower.onTick(List.of(FIRST, SECOND), List.of(), 1);
      PeerAnswer lower = newAnswer(6, OptionalLong.empty());
      assertEquals(follower.onAnswer(FIRST, lower, 1), List.of());
      PeerAnswer higher = newAnswer(8, OptionalLong.empty());
      assertEquals(follower.onAnswer(SECOND, higher, 1), fetchOf(8, SECOND));
      follower.onBody(newRecord(8));
      assertFalse(follower.isCurrent(2));
    }

    @Test
    public void doesNotWaitForeverForAPeer() {
      ConfigurationFollower follower = newFollower();
      follower.onTick(List.of(FIRST, SECOND), List.of(), 1);
      follower.onAnswer(FIRST, newAnswer(6, OptionalLong.empty()), 1);
      List<FollowerAction> actions = follower.onTick(List.of(FIRST, SECOND), List.of(), WAIT);
      assertTrue(actions.containsAll(fetchOf(6, FIRST)), actions.toString());
    }

    @Test
    public void hasNothingInForceIfNobodyHoldsAVersion() {
      ConfigurationFollower follower = newFollower();
      follower.onTick(List.of(), List.of(), 2 * WAIT);
      assertEquals(follower.getInForce(), Optional.empty());
      assertFalse(follower.isCurrent(2 * WAIT));
    }

    @Test
    public void knowsFromTheStoreThatNothingWasEverAccepted() {
      ConfigurationFollower follower = newFollower();
      follower.onHead(Optional.empty(), 5);
      assertTrue(follower.isCurrent(6));
    }
  }

  /** Tests of who reads the table service. */
  public static class Readers {

    @Test
    public void areTwoInAZone() {
      int reads = 0;
      List<PeerId> all = List.of(FIRST, SECOND, SELF, new PeerId("p6"));
      for (PeerId self : all) {
        ConfigurationFollower follower =
            new ConfigurationFollower(
                self, FollowerSettings.ofDefaults(), RandomSource.XO_RO_SHI_RO_128_PP.create(1), 0);
        follower.onHead(Optional.empty(), 0);
        List<PeerId> others = all.stream().filter(p -> !p.equals(self)).toList();
        boolean isReader =
            follower.onTick(others, List.of(), 1).contains(new FollowerAction.ReadHead());
        reads += isReader ? 1 : 0;
      }
      assertEquals(reads, 2);
    }
  }
}
