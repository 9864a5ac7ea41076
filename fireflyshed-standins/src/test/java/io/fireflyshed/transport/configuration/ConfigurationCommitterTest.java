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

  /** The stores and a committer that retries at once. */
  private static final class Site {
    private final InMemoryTableService table = new InMemoryTableService();
    private final MapObjectStore objects = new MapObjectStore();
    private final ConfigurationStore store = new ConfigurationStore(table, objects);
    private final ConfigurationCommitter committer =
        new ConfigurationCommitter(store, Runnable::run);

    private CommitOutcome apply(long base, String author) {
      return committer.apply(base, "by-" + author, author, "{}" + author, "change").join();
    }

    private long readVersion() {
      return store.readHead().join().map(h -> h.record().version()).orElse(0L);
    }
  }

  /** Tests of two operators. */
  public static class TwoOperators {

    @Test
    public void tellTheLoserWhoWon() {
      Site site = new Site();
      CommitOutcome first = site.apply(0, "ann");
      CommitOutcome second = site.apply(0, "bea");
      ConfigurationRecord winner = ((CommitOutcome.Accepted) first).record();
      assertEquals(second, new CommitOutcome.Conflict(winner));
      assertEquals(site.readVersion(), 1);
    }

    @Test
    public void refuseABaseThatWasNeverAccepted() {
      Site site = new Site();
      assertTrue(site.apply(4, "ann") instanceof CommitOutcome.Rejected);
      assertEquals(site.readVersion(), 0);
    }
  }

  /** Tests of faults of the stores. */
  public static class Faults {

    @Test
    public void settleALostAnswerByReadingBackTheAttempt() {
      Site site = new Site();
      site.table.setFault(StoreFault.LOST_ANSWER);
      CommitOutcome outcome = site.apply(0, "ann");
      assertEquals(((CommitOutcome.Accepted) outcome).record().version(), 1);
      assertTrue(site.apply(0, "bea") instanceof CommitOutcome.Conflict);
    }

    @Test
    public void acceptNothingWhileTheTableServiceIsDown() {
      Site site = new Site();
      site.table.setFault(StoreFault.DOWN);
      assertTrue(site.apply(0, "ann") instanceof CommitOutcome.Rejected);
      site.table.setFault(StoreFault.NONE);
      assertEquals(site.readVersion(), 0);
    }

    @Test
    public void refuseADamagedText() {
      Site site = new Site();
      ConfigurationRecord record = ((CommitOutcome.Accepted) site.apply(0, "ann")).record();
      assertFalse(site.store.readBody(record).isCompletedExceptionally());
      site.objects.damageAll();
      assertTrue(site.store.readBody(record).isCompletedExceptionally());
    }
  }
}
