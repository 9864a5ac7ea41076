package io.fireflyshed.coordination.warmup;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.evacuation.EvacuatedZones;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.target.TargetChanges;
import io.fireflyshed.state.traffic.ColdStartProfile;
import io.fireflyshed.state.traffic.EvacuationChanges;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ColdTargets} and {@link ColdBounds}. */
public class ColdTargetsTest {

  private static final InstanceId ID = new InstanceId("t1");
  private static final AvailabilityZone ZONE = new AvailabilityZone("a");
  private static final ColdBounds BOUNDS = new ColdBounds(1.5, 5);
  private static final ColdStartProfile PROFILE = new ColdStartProfile(Duration.ofSeconds(3), 26);
  private static final Duration COLD = Duration.ofSeconds(3);

  private ManualClock clock;
  private EvacuatedZones evacuated;
  private Optional<ColdStartProfile> profile;
  private ColdTargets cold;

  /** Creates a state without targets. */
  @BeforeMethod
  public void setUp() {
    clock = new ManualClock();
    evacuated = new EvacuatedZones();
    profile = Optional.of(PROFILE);
    cold = new ColdTargets(BOUNDS, service -> profile, evacuated, clock);
  }

  private static Target newTarget(long startMillis) {
    return new Target(
        ID,
        new ServiceName("s"),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        ZONE,
        false,
        4,
        startMillis,
        Optional.empty());
  }

  private void list(long startMillis, Map<InstanceId, Duration> coldTimes) {
    cold.apply(new TargetChanges(1, false, List.of(newTarget(startMillis)), Set.of(), coldTimes));
  }

  private void list(Duration coldTime) {
    list(1, Map.of(ID, coldTime));
  }

  private void readNothing() {
    cold.apply(new TargetChanges(1, false, List.of(), Set.of()));
  }

  private boolean isCold() {
    return cold.get(newTarget(1)).isPresent();
  }

  @Test
  public void targetIsColdUntilItsRegistrationSaysOtherwise() {
    list(Duration.ZERO);
    assertFalse(isCold());
    list(COLD);
    for (int i = 0; i < 20; i++) {
      clock.advance(Duration.ofMillis(400));
      readNothing();
      assertTrue(isCold());
    }
    list(Duration.ZERO);
    assertFalse(isCold());
    assertEquals(cold.getStated(), Set.of());
  }

  @Test
  public void targetIsColdForItsTimeWhileTheRegistryCanNotBeRead() {
    list(COLD);
    clock.advance(COLD);
    assertTrue(isCold());
    clock.advance(Duration.ofSeconds(2));
    assertFalse(isCold());
  }

  @Test
  public void answerToHealthCheckMakesATargetColdAndNeverWarm() {
    list(Duration.ZERO);
    cold.onReported(ID, Duration.ofMillis(700));
    cold.onReported(ID, Duration.ofMillis(100));
    cold.onReported(ID, Duration.ZERO);
    clock.advance(Duration.ofMillis(699));
    assertTrue(isCold());
    assertEquals(cold.getStated(), Set.of(ID));
    clock.advance(Duration.ofMillis(1));
    assertFalse(isCold());
  }

  @Test
  public void targetThatSaysNothingIsColdAfterItsStart() {
    list(1, Map.of());
    clock.advance(Duration.ofMillis(2999));
    list(1, Map.of());
    assertTrue(isCold());
    clock.advance(Duration.ofMillis(1));
    assertFalse(isCold());
    list(2, Map.of());
    assertTrue(isCold());
  }

  @Test
  public void coldTargetThatIsRemovedStaysCold() {
    list(COLD);
    cold.apply(new TargetChanges(2, true, List.of(), Set.of()));
    assertTrue(isCold());
    clock.advance(Duration.ofSeconds(5));
    assertFalse(isCold());
  }

  @Test
  public void targetThatWasNotReachedIsColdWhenItComesBack() {
    list(Duration.ZERO);
    cold.onContactLost(ID);
    clock.advance(Duration.ofSeconds(2));
    cold.onContactLost(ID);
    clock.advance(Duration.ofMillis(2999));
    list(Duration.ZERO);
    assertTrue(isCold());
    clock.advance(Duration.ofMillis(1));
    assertFalse(isCold());
  }

  @Test
  public void targetsAreColdAfterTheEvacuationOfTheirZone() {
    list(Duration.ZERO);
    evacuated.apply(new EvacuationChanges(true, Set.of(ZONE), Set.of()), clock.nanoTime());
    assertFalse(isCold());
    evacuated.apply(new EvacuationChanges(true, Set.of(), Set.of()), clock.nanoTime());
    assertTrue(isCold());
    clock.advance(COLD);
    assertFalse(isCold());
  }

  @Test
  public void noTargetOfAServiceWithoutARateIsCold() {
    list(COLD);
    profile = Optional.empty();
    assertFalse(isCold());
  }

  /** Gets what targets bear in a second, with the overshoot and slack of the bound. */
  @DataProvider
  public static Object[][] bounds() {
    return new Object[][] {{26, 1.5, 5}, {1, 1, 0}, {2, 1, 0}, {3, 1.2, 0}, {4, 1, 0}, {100, 1, 0}};
  }

  @Test(dataProvider = "bounds")
  public void turnsOfAgreeingEntriesKeepTheBound(double rate, double overshoot, double slack) {
    ColdStartProfile stated = new ColdStartProfile(COLD, rate);
    ColdBounds bounds = new ColdBounds(overshoot, slack);
    double turns = bounds.getRate(stated).requestsPerSecond();
    // The turns that may be used within a second: those of the second, of the lifetime and skew.
    assertTrue(Math.floor(turns * 1.8) + 1 <= bounds.getMaxRequests(stated));
    assertTrue(turns > 0 && turns <= rate);
  }
}
