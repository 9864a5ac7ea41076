package io.fireflyshed.coordination.evacuation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.traffic.EvacuationChanges;
import java.util.OptionalLong;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link EvacuatedZones}. */
public class EvacuatedZonesTest {

  private static final AvailabilityZone A = new AvailabilityZone("a");
  private static final AvailabilityZone B = new AvailabilityZone("b");

  private EvacuatedZones zones;

  /** Creates a state without evacuated zones. */
  @BeforeMethod
  public void setUp() {
    zones = new EvacuatedZones();
  }

  private boolean begin(long nanos, AvailabilityZone... begun) {
    return zones.apply(new EvacuationChanges(false, Set.of(begun), Set.of()), nanos);
  }

  private boolean end(long nanos, AvailabilityZone... ended) {
    return zones.apply(new EvacuationChanges(false, Set.of(), Set.of(ended)), nanos);
  }

  @Test
  public void zonesBeginAndEndIndependently() {
    assertTrue(begin(1, A));
    assertTrue(begin(2, B));
    assertTrue(end(3, A));
    assertEquals(zones.get(), Set.of(B));
    assertEquals(zones.getEndNanos(A), OptionalLong.of(3));
    assertEquals(zones.getEndNanos(B), OptionalLong.empty());
  }

  @Test
  public void repeatedChangeHasNoEffect() {
    assertTrue(begin(1, A));
    assertFalse(begin(2, A));
    assertFalse(zones.apply(EvacuationChanges.NONE, 3));
    assertTrue(end(4, A));
    assertFalse(end(5, A));
    assertEquals(zones.getEndNanos(A), OptionalLong.of(4));
  }

  @Test
  public void zoneThatIsEvacuatedAgainHasNoEnd() {
    begin(1, A);
    end(2, A);
    begin(3, A);
    assertTrue(zones.contains(A));
    assertEquals(zones.getEndNanos(A), OptionalLong.empty());
  }

  @Test
  public void wholeReadReplacesWhatIsKnown() {
    begin(1, A);
    assertTrue(zones.apply(new EvacuationChanges(true, Set.of(B), Set.of()), 2));
    assertEquals(zones.get(), Set.of(B));
    assertEquals(zones.getEndNanos(A), OptionalLong.of(2));
  }
}
