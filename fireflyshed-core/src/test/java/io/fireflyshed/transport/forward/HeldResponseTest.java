package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.state.clock.ManualClock;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link HeldResponse} and {@link ResponseMemory}. */
public class HeldResponseTest {

  private static final int CHUNK_BYTES = 10_000;
  private static final ResponsePart CHUNK = new ResponsePart.BodyChunk(new byte[CHUNK_BYTES]);

  private ByteBudget budget;
  private ResponseMemory memory;
  private ResponseMemory.Share share;

  /** Creates a memory with room for several responses. */
  @BeforeMethod
  public void setUp() {
    setCapacity(1 << 20);
  }

  private void setCapacity(long capacity) {
    budget = new ByteBudget(capacity, new ManualClock(), ByteBudget.Listener.none());
    memory = new ResponseMemory(budget, "route");
    share = memory.start("target");
  }

  private HeldResponse newResponse(int status, boolean isErrorReplaceable) {
    HeldResponse response = new HeldResponse("target", share, isErrorReplaceable, true);
    assertEquals(response.add(ForwardFixtures.newHead("id", status)), List.of());
    return response;
  }

  /** Adds chunks until some are passed on, and returns all that were passed on. */
  private static List<ResponsePart> addUntilPassedOn(HeldResponse response) {
    List<ResponsePart> passedOn = new ArrayList<>();
    while (!response.isPassedOn()) {
      passedOn.addAll(response.add(CHUNK));
    }
    return passedOn;
  }

  @Test
  public void shortResponseIsHeldUntilItIsComplete() {
    HeldResponse response = newResponse(200, true);
    assertEquals(response.add(CHUNK), List.of());
    assertEquals(response.getParts().size(), 2);
    assertFalse(response.isPassedOn());
    assertEquals(budget.getUsed(), CHUNK_BYTES);
  }

  @Test
  public void longResponseIsPassedOnInOrderAndNotCountedAnyMore() {
    HeldResponse response = newResponse(200, true);
    List<ResponsePart> passedOn = addUntilPassedOn(response);
    assertTrue(passedOn.get(0) instanceof ResponsePart.Head);
    assertEquals(passedOn.size(), 2 + HeldResponse.MAX_HELD_BYTES / CHUNK_BYTES);
    assertEquals(budget.getUsed(), 0);
    assertEquals(response.add(CHUNK), List.of(CHUNK));
    assertEquals(response.getParts(), List.of());
  }

  @Test
  public void responseForWhichThereIsNoRoomIsPassedOn() {
    setCapacity(2 * CHUNK_BYTES);
    HeldResponse response = newResponse(200, true);
    assertEquals(addUntilPassedOn(response).size(), 3);
    assertEquals(budget.getUsed(), 0);
  }

  @Test
  public void longErrorIsNeitherHeldNorPassedOnIfAnotherAttemptMayFollow() {
    HeldResponse response = newResponse(500, true);
    AttemptException error = expectThrows(AttemptException.class, () -> addUntilPassedOn(response));
    assertEquals(error.getOutcome(), Outcome.RAN);
  }

  @Test
  public void longErrorIsPassedOnIfNoAttemptMayFollow() {
    HeldResponse response = newResponse(500, false);
    assertTrue(addUntilPassedOn(response).size() > 1);
  }

  @Test
  public void responseWithoutEndFails() {
    HeldResponse response = newResponse(200, false);
    AttemptException error =
        expectThrows(
            AttemptException.class,
            () -> {
              while (true) {
                response.add(CHUNK);
              }
            });
    assertEquals(error.getOutcome(), Outcome.UNKNOWN);
  }

  @Test
  public void keptResponseIsCountedUntilTheEnd() {
    newResponse(500, true).add(CHUNK);
    share.keep();
    share = memory.start("other");
    newResponse(200, true).add(CHUNK);
    assertEquals(budget.getUsed(), 2 * CHUNK_BYTES);
    share.release();
    assertEquals(budget.getUsed(), CHUNK_BYTES);
    memory.close();
    assertEquals(budget.getUsed(), 0);
    share = memory.start("late");
    assertFalse(share.tryHold(1), "a response is held after the end");
  }

  @Test
  public void responsesOfTwoOpenAttemptsAreBothCounted() {
    newResponse(200, true).add(CHUNK);
    ResponseMemory.Share first = share;
    share = memory.start("other");
    newResponse(200, true).add(CHUNK);
    assertEquals(budget.getUsed(), 2 * CHUNK_BYTES);
    first.release();
    assertEquals(budget.getUsed(), CHUNK_BYTES);
    assertFalse(first.tryHold(1), "a response is held after its release");
    memory.close();
    assertEquals(budget.getUsed(), 0);
  }
}
