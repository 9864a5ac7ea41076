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
  private static final Duration LAG = Duration.ofMillis(200);
  private static final ReplicaId REPLICA =
      ReplicaNameUtils.newId(FormationSimulation.SMALL.name(), 1);

  private SimulatedEngine engine;
  private EngineState state;

  /** Creates an engine that joined a replica and reported it. */
  @BeforeMethod
  public void setUp() {
    engine = new SimulatedEngine("one", "d");
    engine.take(
        new EngineOrder.Join(REPLICA, 1, FormationSimulation.SMALL.name(), List.of(engine.id)),
        1,
        0,
        List.of(FormationSimulation.SMALL),
        0);
    state = new EngineState(engine.toTarget());
    state.onAsked(0);
    state.onReport(engine.report(0, 0));
  }

  /** Lets the engine leave; the order is answered at 150 ms, with a report asked for before. */
  private EngineReport leave() {
    EngineReport before = engine.report(100, 0);
    state.onAsked(100 * MILLI);
    state.onOrderSent();
    EngineOrder order = new EngineOrder.Leave(REPLICA, 1);
    OrderReply reply = engine.take(order, 1, 1, List.of(FormationSimulation.SMALL), 120);
    state.onOrderAnswered(order, reply, 150 * MILLI, LAG);
    return before;
  }

  @Test
  public void answeredOrderIsKnownBeforeReportsShowIt() {
    leave();
    assertEquals(state.getMembership(), Optional.empty());
    assertEquals(state.getOrderSequence(), 2);
    assertTrue(state.isOrderable());
  }

  @Test
  public void reportFromBeforeAnOrderDoesNotUndoIt() {
    EngineReport before = leave();
    state.onReport(before);
    assertEquals(state.getMembership(), Optional.empty());
    assertEquals(state.getOrderSequence(), 2);
  }

  @Test
  public void noReportIsAskedForThatCannotShowTheOrder() {
    EngineReport before = leave();
    state.onReport(before);
    assertFalse(state.isReportDue(Duration.ZERO, 300 * MILLI));
    assertTrue(state.isReportDue(Duration.ZERO, 400 * MILLI));
  }

  @Test
  public void reportOfANewLifeCountsAtOnce() {
    leave();
    engine.restart(200);
    state.setTarget(engine.toTarget());
    state.onReport(engine.report(200, 0));
    assertEquals(state.getOrderSequence(), 0);
    assertEquals(state.getLastModel(), "");
  }

  @Test
  public void engineIsUncertainUntilALostAnswerIsReadBack() {
    state.onOrderSent();
    state.onOrderAnswered(new EngineOrder.Leave(REPLICA, 1), OrderReply.UNKNOWN, 0, LAG);
    assertFalse(state.isOrderable());
    state.onAsked(300 * MILLI);
    state.onReport(engine.report(300, 0));
    assertTrue(state.isOrderable());
  }
}
