package io.fireflyshed.transport.registry;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableFeed;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Tests {@link SharedTableService}. */
public class SharedTableServiceTest {

  private static final Row FIRST = new Row(new RowKey("t", "a/1"), 1, "one");
  private static final Row SECOND = new Row(new RowKey("t", "b/1"), 2, "two");

  private final List<Transaction> commits = new ArrayList<>();
  private final SharedTableService service =
      new SharedTableService(
          new TableService() {
            @Override
            public CompletableFuture<Optional<Row>> read(RowKey key) {
              return CompletableFuture.completedFuture(Optional.of(FIRST));
            }

            @Override
            public CompletableFuture<List<Row>> scan(String table, String prefix) {
              throw new UnsupportedOperationException();
            }

            @Override
            public CompletableFuture<CommitResult> commit(Transaction transaction) {
              commits.add(transaction);
              return CompletableFuture.completedFuture(new CommitResult(true, List.of()));
            }
          },
          new TableFeed() {
            @Override
            public CompletableFuture<TableChanges> readAll(String table) {
              return CompletableFuture.completedFuture(
                  new TableChanges(2, 0, true, List.of(FIRST, SECOND), Set.of()));
            }

            @Override
            public CompletableFuture<TableChanges> awaitChanges(
                String table, long version, Duration maxWait) {
              throw new UnsupportedOperationException();
            }
          });

  @Test
  public void scanReturnsTheRowsOfTheFeedWithThePrefix() {
    assertEquals(service.scan("t", "b/").join(), List.of(SECOND));
    assertEquals(service.scan("t", "").join(), List.of(FIRST, SECOND));
  }

  @Test
  public void otherCallsGoToTheTableService() {
    assertEquals(service.read(FIRST.key()).join(), Optional.of(FIRST));
    Transaction transaction = new Transaction(List.of(), List.of());
    service.commit(transaction);
    assertEquals(commits, List.of(transaction));
  }
}
