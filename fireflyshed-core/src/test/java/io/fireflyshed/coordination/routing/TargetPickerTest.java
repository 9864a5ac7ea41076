package io.fireflyshed.coordination.routing;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.ServiceName;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests {@link TargetPicker}. */
public class TargetPickerTest {

  private static final AvailabilityZone NEAR = new AvailabilityZone("near");
  private static final InstanceRecord FIRST = newTarget("i1", NEAR);
  private static final InstanceRecord SECOND = newTarget("i2", NEAR);
  private static final InstanceRecord FAR = newTarget("i0", new AvailabilityZone("far"));
  private static final List<InstanceRecord> ALL = List.of(FAR, FIRST, SECOND);

  private static InstanceRecord newTarget(String id, AvailabilityZone zone) {
    return new InstanceRecord(
        new InstanceId(id),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        zone,
        new FabricDomain("d"),
        0,
        false,
        Optional.of(new ServiceName("desk")));
  }

  @Test
  public void sortsNearAndLeastLoadedTargetsFirst() {
    TargetPicker picker = new TargetPicker(NEAR);
    picker.onStart(FIRST.id());
    assertEquals(picker.sort(ALL, 0), List.of(SECOND, FIRST, FAR));
  }

  @Test
  public void sortsATargetThatRecentlyFailedLast() {
    TargetPicker picker = new TargetPicker(NEAR);
    picker.onStart(FIRST.id());
    picker.onEnd(FIRST.id(), false, 0);
    assertEquals(picker.sort(ALL, 1), List.of(SECOND, FAR, FIRST));
    assertEquals(picker.sort(ALL, Duration.ofSeconds(5).toNanos()), List.of(FIRST, SECOND, FAR));
  }
}
