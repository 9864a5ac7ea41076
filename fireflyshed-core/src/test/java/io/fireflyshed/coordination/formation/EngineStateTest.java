package io.fireflyshed.coordination.formation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ReplicaNameUtils;
import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.EngineReport;
import io.fireflyshed.state.target.OrderReply;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link EngineState}. */
public class EngineStateTest {

  private static final long MILLI = 1_000_000;
  private static final Duration REPORT_LAG = Duration.ofMillis(200);
  private static final ReplicaId REPLICA =
      ReplicaNameUtils.newId(FormationSimulation.SMALL.name(), 1);

  private SimulatedEngine engine;
  private EngineState state;

  /** Creates an engine that joined a replica and reported its membership. */
  @BeforeMethod
  public void setUp() {
    engine = new SimulatedEngine("one", "d");
    engine.handleOrder(
        new EngineOrder.Join(REPLICA, 1, FormationSimulation.SMALL.name(), List.of(engine.id)),
        1,
        0,
        List.of(FormationSimulation.SMALL),
        0);
    state = new EngineState(engine.toTarget());
    state.recordReportRequest(0);
    state.recordReport(engine.report(0, 0));
  }

  /**
   * Lets the engine leave its replica, with the reply at 150 ms.
   *
   * @return a report of the engine that was requested before the order
   */
  private EngineReport leaveReplica() {
    EngineReport earlierReport = engine.report(100, 0);
    state.recordReportRequest(100 * MILLI);
    state.recordOrderSent();
    EngineOrder order = new EngineOrder.Leave(REPLICA, 1);
    OrderReply reply = engine.handleOrder(order, 1, 1, List.of(FormationSimulation.SMALL), 120);
    state.recordOrderReply(order, reply, 150 * MILLI, REPORT_LAG);
    return earlierReport;
  }

  @Test
  public void orderReplyTakesEffectBeforeReportsShowIt() {
    leaveReplica();
    assertEquals(state.getMembership(), Optional.empty());
    assertEquals(state.getOrderSequence(), 2);
    assertTrue(state.isOrderable());
  }

  @Test
  public void reportRequestedBeforeAnOrderDoesNotUndoIt() {
    EngineReport earlierReport = leaveReplica();
    state.recordReport(earlierReport);
    assertEquals(state.getMembership(), Optional.empty());
    assertEquals(state.getOrderSequence(), 2);
  }

  @Test
  public void reportIsNotRequestedUntilItCanShowTheOrder() {
    EngineReport earlierReport = leaveReplica();
    state.recordReport(earlierReport);
    assertFalse(state.isReportDue(Duration.ZERO, 300 * MILLI));
    assertTrue(state.isReportDue(Duration.ZERO, 400 * MILLI));
  }

  @Test
  public void reportAfterARestartCountsAtOnce() {
    leaveReplica();
    engine.restart(200);
    state.setTarget(engine.toTarget());
    state.recordReport(engine.report(200, 0));
    assertEquals(state.getOrderSequence(), 0);
    assertEquals(state.getLastModel(), "");
  }

  @Test
  public void engineIsNotOrderableUntilAReportFollowsALostReply() {
    state.recordOrderSent();
    state.recordOrderReply(new EngineOrder.Leave(REPLICA, 1), OrderReply.UNKNOWN, 0, REPORT_LAG);
    assertFalse(state.isOrderable());
    state.recordReportRequest(300 * MILLI);
    state.recordReport(engine.report(300, 0));
    assertTrue(state.isOrderable());
  }

  /** Lets report requests time out from a time on, each 250 ms after the request. */
  private void timeOutUntil(long fromMillis, long untilMillis) {
    for (long now = fromMillis; now < untilMillis; now += 250) {
      state.recordReportRequest(now * MILLI);
      state.recordReportTimeout((now + 250) * MILLI);
    }
  }

  @Test
  public void silentEngineIsLostOnlyAfterMoreThanASecond() {
    timeOutUntil(1000, 2250);
    assertFalse(state.isLost());
    assertTrue(state.isReportDue(Duration.ofSeconds(1), 2250 * MILLI));
    timeOutUntil(2250, 2500);
    assertTrue(state.isLost());
  }

  @Test
  public void silentEngineOfASilentReplicaIsLostSooner() {
    state.recordReplicaSilence(500 * MILLI, 1000 * MILLI);
    assertTrue(state.isReportDue(Duration.ofSeconds(10), 1000 * MILLI));
    timeOutUntil(1000, 1500);
    state.recordReplicaSilence(500 * MILLI, 1500 * MILLI);
    timeOutUntil(1500, 1750);
    assertFalse(state.isLost());
    timeOutUntil(1750, 2000);
    assertTrue(state.isLost());
  }

  @Test
  public void engineThatIsSilentForAMomentIsNotLostWithItsReplica() {
    state.recordReplicaSilence(0, 3000 * MILLI);
    timeOutUntil(3000, 3250);
    assertFalse(state.isLost());
  }

  @Test
  public void silentEngineGetsNoOrderUntilItsNextReport() {
    timeOutUntil(1000, 1250);
    assertFalse(state.isOrderable());
    state.recordReportRequest(1300 * MILLI);
    state.recordReport(engine.report(1300, 0));
    assertTrue(state.isOrderable());
  }

  @Test
  public void reportEndsASilence() {
    timeOutUntil(1000, 2250);
    state.recordReportRequest(2250 * MILLI);
    state.recordReport(engine.report(2250, 0));
    timeOutUntil(2500, 3750);
    assertFalse(state.isLost());
  }

  @Test
  public void engineThatRefusesTwoConnectionsIsLost() {
    state.recordReportRequest(1000 * MILLI);
    state.recordReportFailure();
    assertFalse(state.isLost());
    state.recordReportRequest(1050 * MILLI);
    state.recordReportFailure();
    assertTrue(state.isLost());
  }

  @Test
  public void suspectEngineIsLostAfterOneTimeout() {
    state.markSuspect();
    timeOutUntil(1000, 1250);
    assertTrue(state.isLost());
  }
}
