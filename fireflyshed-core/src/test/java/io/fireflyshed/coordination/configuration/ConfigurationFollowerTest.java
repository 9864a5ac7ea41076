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

  private static final long LEASE_NANOS = Duration.ofSeconds(3).toNanos();
  private static final long START_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();
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

  private static ConfigurationFollower newFollowerInForce(long version) {
    ConfigurationFollower follower = newFollower();
    follower.onHead(Optional.of(newRecord(version)), 0);
    follower.onBody(newRecord(version));
    return follower;
  }

  private static PeerAnswer newAnswer(long version, OptionalLong ageNanos) {
    return new PeerAnswer(Optional.of(newRecord(version)), ageNanos);
  }

  private static List<FollowerAction> newFetch(long version, PeerId source) {
    return List.of(new FollowerAction.FetchBody(newRecord(version), Optional.ofNullable(source)));
  }

  /** Tests of a process that cannot reach the table service. */
  public static class Disconnected {

    @Test
    public void keepsItsVersionAndKnowsThatItMayBeBehind() {
      ConfigurationFollower follower = newFollowerInForce(7);
      assertTrue(follower.isCurrent(LEASE_NANOS - 1));
      assertFalse(follower.isCurrent(LEASE_NANOS));
      assertEquals(follower.getInForce(), Optional.of(newRecord(7)));
    }

    @Test
    public void isNotRenewedByAPeerWithOldEvidence() {
      ConfigurationFollower follower = newFollowerInForce(7);
      long askedNanos = LEASE_NANOS - 10;
      follower.onAnswer(FIRST, newAnswer(7, OptionalLong.of(LEASE_NANOS - 10)), askedNanos);
      assertFalse(follower.isCurrent(LEASE_NANOS));
    }

    @Test
    public void asksAnotherZoneWhenItsEvidenceGetsOld() {
      ConfigurationFollower follower = newFollowerInForce(7);
      List<FollowerAction> early = follower.onTick(List.of(), List.of(FIRST), 1);
      assertFalse(early.contains(new FollowerAction.AskPeer(FIRST)), early.toString());
      List<FollowerAction> late = follower.onTick(List.of(), List.of(FIRST), LEASE_NANOS / 2);
      assertTrue(late.contains(new FollowerAction.AskPeer(FIRST)), late.toString());
    }

    @Test
    public void isRenewedByAPeerWithFreshEvidence() {
      ConfigurationFollower follower = newFollowerInForce(7);
      follower.onAnswer(FIRST, newAnswer(7, OptionalLong.of(1_000)), LEASE_NANOS);
      assertTrue(follower.isCurrent(2 * LEASE_NANOS - 1_001 - 1));
      assertFalse(follower.isCurrent(2 * LEASE_NANOS - 1_001));
    }
  }

  /** Tests of a process whose lease has expired. */
  public static class Expired {

    @Test
    public void putsTheNewerVersionInForceBeforeItsLeaseIsValidAgain() {
      ConfigurationFollower follower = newFollowerInForce(7);
      assertEquals(follower.onHead(Optional.of(newRecord(9)), 2 * LEASE_NANOS), newFetch(9, null));
      assertFalse(follower.isCurrent(2 * LEASE_NANOS));
      follower.onBody(newRecord(9));
      assertTrue(follower.isCurrent(2 * LEASE_NANOS));
    }

    @Test
    public void ignoresALowerVersion() {
      ConfigurationFollower follower = newFollowerInForce(7);
      assertEquals(follower.onAnswer(FIRST, newAnswer(6, OptionalLong.empty()), 1), List.of());
      assertEquals(follower.onBody(newRecord(6)), List.of());
      assertEquals(follower.getInForce(), Optional.of(newRecord(7)));
    }

    @Test
    public void readsTheObjectStoreAfterAFailedFetchFromAPeer() {
      ConfigurationFollower follower = newFollowerInForce(7);
      PeerAnswer answer = newAnswer(8, OptionalLong.empty());
      assertEquals(follower.onAnswer(FIRST, answer, 1), newFetch(8, FIRST));
      follower.onFetchFailed();
      List<FollowerAction> actions = follower.onTick(List.of(FIRST, SECOND), List.of(), 2);
      assertTrue(actions.containsAll(newFetch(8, null)), actions.toString());
    }
  }

  /** Tests of a process that replaces another one. */
  public static class Replacement {

    @Test
    public void usesTheHighestVersionOfItsPeers() {
      ConfigurationFollower follower = newFollower();
      follower.onTick(List.of(FIRST, SECOND), List.of(), 1);
      PeerAnswer lower = newAnswer(6, OptionalLong.empty());
      assertEquals(follower.onAnswer(FIRST, lower, 1), List.of());
      PeerAnswer higher = newAnswer(8, OptionalLong.empty());
      assertEquals(follower.onAnswer(SECOND, higher, 1), newFetch(8, SECOND));
      follower.onBody(newRecord(8));
      assertFalse(follower.isCurrent(2));
    }

    @Test
    public void doesNotWaitForeverForAPeer() {
      ConfigurationFollower follower = newFollower();
      follower.onTick(List.of(FIRST, SECOND), List.of(), 1);
      follower.onAnswer(FIRST, newAnswer(6, OptionalLong.empty()), 1);
      List<FollowerAction> actions =
          follower.onTick(List.of(FIRST, SECOND), List.of(), START_TIMEOUT_NANOS);
      assertTrue(actions.containsAll(newFetch(6, FIRST)), actions.toString());
    }

    @Test
    public void hasNothingInForceIfNoPeerHasAVersion() {
      ConfigurationFollower follower = newFollower();
      follower.onTick(List.of(), List.of(), 2 * START_TIMEOUT_NANOS);
      assertEquals(follower.getInForce(), Optional.empty());
      assertFalse(follower.isCurrent(2 * START_TIMEOUT_NANOS));
    }

    @Test
    public void isCurrentIfTheTableServiceHasNoVersion() {
      ConfigurationFollower follower = newFollower();
      follower.onHead(Optional.empty(), 5);
      assertTrue(follower.isCurrent(6));
    }
  }

  /** Tests of the choice of the processes that read the table service. */
  public static class Readers {

    @Test
    public void areTwoInAZone() {
      int readers = 0;
      List<PeerId> processes = List.of(FIRST, SECOND, SELF, new PeerId("p6"));
      for (PeerId self : processes) {
        ConfigurationFollower follower =
            new ConfigurationFollower(
                self, FollowerSettings.ofDefaults(), RandomSource.XO_RO_SHI_RO_128_PP.create(1), 0);
        follower.onHead(Optional.empty(), 0);
        List<PeerId> zonePeers = processes.stream().filter(p -> !p.equals(self)).toList();
        boolean isReader =
            follower.onTick(zonePeers, List.of(), 1).contains(new FollowerAction.ReadHead());
        readers += isReader ? 1 : 0;
      }
      assertEquals(readers, 2);
    }
  }
}
