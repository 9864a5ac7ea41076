package io.fireflyshed.coordination.drain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.MemberHealth;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests {@link DrainTracker}. */
public class DrainTrackerTest {

  private static final InstanceId ID = new InstanceId("i1");
  private static final FabricDomain DOMAIN = new FabricDomain("d1");

  private static InstanceRecord newInstance(boolean isLeaving) {
    return new InstanceRecord(
        ID,
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        new AvailabilityZone("a"),
        DOMAIN,
        8,
        isLeaving,
        Optional.empty());
  }

  private static MemberHealth newHealth(String boot, boolean isLeaving) {
    return new MemberHealth(ID, new BootId(boot), Optional.empty(), 0, true, isLeaving);
  }

  /** Tests of the signals of the platform, the engine and peers. */
  public static class Signals {

    @Test
    public void keepsEngineAnnouncementUntilRestart() {
      DrainTracker drain = new DrainTracker();
      assertTrue(drain.onHealth(newHealth("b1", true)));
      assertFalse(drain.onHealth(newHealth("b1", false)));
      assertTrue(drain.isLeaving(newInstance(false)));
      drain.onHealth(newHealth("b2", false));
      assertFalse(drain.isLeaving(newInstance(false)));
    }

    @Test
    public void followsListThatLagsBehindRestart() {
      DrainTracker drain = new DrainTracker();
      drain.onHealth(newHealth("b1", false));
      assertEquals(drain.onList(List.of(newInstance(true))), Set.of(ID));
      assertEquals(drain.onList(List.of(newInstance(true))), Set.of());
      drain.onHealth(newHealth("b2", false));
      assertTrue(drain.isLeaving(newInstance(true)));
      drain.onList(List.of(newInstance(false)));
      assertFalse(drain.isLeaving(newInstance(false)));
    }

    @Test
    public void staysLeavingWhenListNoLongerSaysSo() {
      DrainTracker drain = new DrainTracker();
      drain.onHealth(newHealth("b1", false));
      drain.onList(List.of(newInstance(true)));
      drain.onList(List.of(newInstance(false)));
      assertTrue(drain.isLeaving(newInstance(false)));
    }

    @Test
    public void ignoresPeerNoticeOfEarlierRun() {
      DrainTracker drain = new DrainTracker();
      drain.onHealth(newHealth("b2", false));
      drain.onNotice(ID, Optional.of(new BootId("b1")));
      assertFalse(drain.isLeaving(newInstance(false)));
      drain.onNotice(ID, Optional.of(new BootId("b2")));
      assertTrue(drain.isLeaving(newInstance(false)));
    }
  }

  /** Tests of the orders of operators. */
  public static class Operator {

    @Test
    public void drainsDomainUntilOrderIsRemoved() {
      DrainTracker drain = new DrainTracker();
      drain.onOrders(new DrainOrders(Set.of(), Set.of(DOMAIN)));
      assertTrue(drain.isLeaving(newInstance(false)));
      drain.onOrders(DrainOrders.ofNothing());
      assertFalse(drain.isLeaving(newInstance(false)));
    }
  }
}
