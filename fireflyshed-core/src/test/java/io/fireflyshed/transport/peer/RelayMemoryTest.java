package io.fireflyshed.transport.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.budget.ByteClaim;
import io.fireflyshed.coordination.budget.ByteUse;
import io.fireflyshed.transport.forward.ForwardException;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests {@link EntryRelay} without memory for what other entries send. */
public class RelayMemoryTest extends RelayTestBase {

  @Test
  public void responseForWhichThereIsNoRoomIsUnknown() {
    RelayEntry entry = newEntry("e1");
    entry.addPeer(newEntry("e2"));
    ByteClaim claim = new ByteClaim(ByteUse.CONTROL, Set.of(), true);
    try (ByteBudget.Reservation all =
        entry.budget.tryReserve(claim, RelayEntry.BUDGET_BYTES).orElseThrow()) {
      ForwardException error = entry.fail("r1");
      assertEquals(error.getOutcome(), Outcome.UNKNOWN);
      assertTrue(error.getMessage().contains("no memory is left"), error.getMessage());
      assertEquals(entry.budget.getUsed(), all.getBytes());
    }
  }
}
