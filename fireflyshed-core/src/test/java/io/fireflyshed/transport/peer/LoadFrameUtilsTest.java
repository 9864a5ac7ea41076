package io.fireflyshed.transport.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;

import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.coordination.placement.FleetLoad.TargetRequests;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.instance.InstanceId;
import java.util.Map;
import java.util.OptionalDouble;
import org.testng.annotations.Test;

/** Tests {@link LoadFrameUtils} and the sums of loads with and without work. */
public class LoadFrameUtilsTest {

  private static final InstanceId TARGET = new InstanceId("t");

  private static FleetLoad newLoad(int requests, OptionalDouble work) {
    return new FleetLoad(Map.of(TARGET, new TargetRequests(requests, 2, 0, 1, work)), 1);
  }

  private static OptionalDouble getWork(FleetLoad load) {
    return load.loads().get(TARGET).workMillis();
  }

  @Test
  public void workArrivesAsItWasSent() {
    FleetLoad load = newLoad(3, OptionalDouble.of(512));
    assertEquals(LoadFrameUtils.fromAnswer(LoadFrameUtils.toAnswer(1, load).getLoadAnswer()), load);
  }

  @Test
  public void framesAreAsBeforeIfNoWorkIsTold() {
    PeerProto.TargetLoad frame =
        LoadFrameUtils.toQuestion(1, newLoad(3, OptionalDouble.empty()), true)
            .getLoadQuestion()
            .getLoads(0);
    assertFalse(frame.hasWorkMs());
    assertEquals(frame.getInFlight(), 3);
  }

  @Test
  public void requestsOfEntriesThatTellNoWorkCountAsTheMean() {
    FleetLoad told = newLoad(2, OptionalDouble.of(100));
    FleetLoad untold = newLoad(3, OptionalDouble.empty());
    assertEquals(getWork(told.plus(untold)).orElseThrow(), 250, 1e-9);
    assertEquals(getWork(untold.plus(told)).orElseThrow(), 250, 1e-9);
    assertEquals(getWork(untold.plus(untold)), OptionalDouble.empty());
    assertEquals(getWork(told.plus(untold).minus(told)).orElseThrow(), 150, 1e-9);
  }

  @Test
  public void noWorkBecomesNegative() {
    FleetLoad small = newLoad(1, OptionalDouble.of(10));
    FleetLoad large = newLoad(2, OptionalDouble.of(100));
    assertEquals(getWork(small.minus(large)).orElseThrow(), 0.0);
    assertThrows(
        IllegalArgumentException.class,
        () -> new TargetRequests(1, 1, 0, 0, OptionalDouble.of(-1)));
  }
}
