package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import io.fireflyshed.coordination.evacuation.EvacuatedZones;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.EvacuationChanges;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests {@link EvacuationFilter}. */
public class EvacuationFilterTest {

  private static final ServiceName SERVICE = new ServiceName("s");
  private static final Target IN_A = newTarget("a");
  private static final Target IN_B = newTarget("b");

  private final List<Target> all = List.of(IN_A, IN_B);
  private final EvacuatedZones evacuated = new EvacuatedZones();
  private final EvacuationFilter filter =
      new EvacuationFilter(
          new TargetView() {
            @Override
            public boolean isRead() {
              return true;
            }

            @Override
            public List<Target> getTargets(ServiceName service) {
              return all;
            }

            @Override
            public List<Target> getHeads(ServiceName service, String model) {
              return all;
            }
          },
          evacuated);

  private static Target newTarget(String zone) {
    return new Target(
        new InstanceId("t-" + zone),
        SERVICE,
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        new AvailabilityZone(zone),
        false,
        1,
        1,
        Optional.empty());
  }

  @Test
  public void allTargetsAreListedWithoutAnEvacuation() {
    assertSame(filter.getTargets(SERVICE), all);
    assertSame(filter.getHeads(SERVICE, "m"), all);
  }

  @Test
  public void targetsOfAnEvacuatedZoneAreLeftOutUntilItIsTakenBack() {
    evacuated.apply(new EvacuationChanges(false, Set.of(IN_A.zone()), Set.of()), 1);
    assertEquals(filter.getTargets(SERVICE), List.of(IN_B));
    assertEquals(filter.getHeads(SERVICE, "m"), List.of(IN_B));
    evacuated.apply(new EvacuationChanges(false, Set.of(), Set.of(IN_A.zone())), 2);
    assertSame(filter.getTargets(SERVICE), all);
  }
}
