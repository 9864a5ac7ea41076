package io.fireflyshed.transport.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.configuration.CommitOutcome;
import io.fireflyshed.standins.platform.InMemoryTableService;
import io.fireflyshed.standins.platform.StoreFault;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import org.testng.annotations.Test;

/** Tests {@link ConfigurationCommitter}. */
public class ConfigurationCommitterTest {

  /** In-memory stores and a committer that retries without delay. */
  private static final class Fixture {
    private final InMemoryTableService table = new InMemoryTableService();
    private final InMemoryObjectStore objects = new InMemoryObjectStore();
    private final ConfigurationStore store = new ConfigurationStore(table, objects);
    private final ConfigurationCommitter committer =
        new ConfigurationCommitter(store, Runnable::run);

    private CommitOutcome apply(long baseVersion, String author) {
      return committer.apply(baseVersion, "by-" + author, author, "{}" + author, "change").join();
    }

    private long readHeadVersion() {
      return store.readHead().join().map(h -> h.record().version()).orElse(0L);
    }
  }

  /** Tests of two operators who commit on the same base version. */
  public static class TwoOperators {

    @Test
    public void secondAttemptConflictsWithTheFirst() {
      Fixture fixture = new Fixture();
      CommitOutcome first = fixture.apply(0, "ann");
      CommitOutcome second = fixture.apply(0, "bea");
      ConfigurationRecord winner = ((CommitOutcome.Accepted) first).record();
      assertEquals(second, new CommitOutcome.Conflict(winner));
      assertEquals(fixture.readHeadVersion(), 1);
    }

    @Test
    public void baseThatWasNeverAcceptedIsRejected() {
      Fixture fixture = new Fixture();
      assertTrue(fixture.apply(4, "ann") instanceof CommitOutcome.Rejected);
      assertEquals(fixture.readHeadVersion(), 0);
    }
  }

  /** Tests of failures of the table service and the object store. */
  public static class StoreFailures {

    @Test
    public void lostResponseIsResolvedByReadingTheVersionBack() {
      Fixture fixture = new Fixture();
      fixture.table.setFault(StoreFault.LOST_ANSWER);
      CommitOutcome outcome = fixture.apply(0, "ann");
      assertEquals(((CommitOutcome.Accepted) outcome).record().version(), 1);
      assertTrue(fixture.apply(0, "bea") instanceof CommitOutcome.Conflict);
    }

    @Test
    public void commitIsRejectedWhileTheTableServiceIsDown() {
      Fixture fixture = new Fixture();
      fixture.table.setFault(StoreFault.DOWN);
      assertTrue(fixture.apply(0, "ann") instanceof CommitOutcome.Rejected);
      fixture.table.setFault(StoreFault.NONE);
      assertEquals(fixture.readHeadVersion(), 0);
    }

    @Test
    public void damagedTextIsNotRead() {
      Fixture fixture = new Fixture();
      ConfigurationRecord record = ((CommitOutcome.Accepted) fixture.apply(0, "ann")).record();
      assertFalse(fixture.store.readBody(record).isCompletedExceptionally());
      fixture.objects.damageAll();
      assertTrue(fixture.store.readBody(record).isCompletedExceptionally());
    }
  }
}
