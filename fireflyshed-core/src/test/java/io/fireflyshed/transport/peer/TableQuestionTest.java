package io.fireflyshed.transport.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableQuestion;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests questions about tables between two {@link EntryRelay} over loopback. */
public class TableQuestionTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);
  private static final TableQuestion QUESTION = new TableQuestion("t", 7, false);

  private RelayEntry asking;
  private RelayEntry reader;
  private EntryPeer peer;

  /** Starts two entries. */
  @BeforeMethod
  public void setUp() {
    asking = new RelayEntry("asking");
    reader = new RelayEntry("reader");
    peer = new EntryPeer(reader.id, new AvailabilityZone("a"), reader.address, 0);
  }

  /** Stops the entries. */
  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    asking.relay.close();
    reader.relay.close();
  }

  private static TableChanges newChanges(long version) {
    return new TableChanges(
        version,
        2,
        false,
        List.of(new Row(new RowKey("t", "k"), version, "v" + version)),
        Set.of(new RowKey("t", "gone")));
  }

  @Test
  public void answerHasTheRowsThatTheReaderRead() throws Exception {
    List<TableQuestion> questions = new ArrayList<>();
    reader.tables =
        question -> {
          questions.add(question);
          return CompletableFuture.completedFuture(newChanges(9));
        };
    assertEquals(asking.relay.ask(peer, QUESTION, TIMEOUT).get(), newChanges(9));
    assertEquals(questions, List.of(QUESTION));
  }

  @Test
  public void answersOfOneConnectionMayOvertakeEachOther() throws Exception {
    CompletableFuture<TableChanges> late = new CompletableFuture<>();
    reader.tables =
        question -> question.isWhole() ? late : CompletableFuture.completedFuture(newChanges(9));
    CompletableFuture<TableChanges> first =
        asking.relay.ask(peer, new TableQuestion("t", 0, true), TIMEOUT);
    assertEquals(asking.relay.ask(peer, QUESTION, TIMEOUT).get(), newChanges(9));
    late.complete(newChanges(8));
    assertEquals(first.get(), newChanges(8));
  }

  @Test
  public void readerThatCannotReadFailsTheQuestionAtOnce() {
    CompletableFuture<TableChanges> answer = asking.relay.ask(peer, QUESTION, TIMEOUT);
    Throwable error = expectThrows(ExecutionException.class, answer::get).getCause();
    assertTrue(error.getMessage().contains("reader"), error.getMessage());
  }

  @Test
  public void questionWithoutAnswerFailsInTime() {
    reader.tables = question -> new CompletableFuture<>();
    long start = System.nanoTime();
    CompletableFuture<TableChanges> answer = asking.relay.ask(peer, QUESTION, SHORT_TIMEOUT);
    expectThrows(ExecutionException.class, answer::get);
    assertTrue(System.nanoTime() - start >= SHORT_TIMEOUT.toNanos());
  }

  @Test
  public void lateAnswerToOneQuestionLeavesTheOthersAlone() throws Exception {
    CompletableFuture<TableChanges> late = new CompletableFuture<>();
    reader.tables =
        question -> question.isWhole() ? late : CompletableFuture.completedFuture(newChanges(9));
    CompletableFuture<TableChanges> pending =
        asking.relay.ask(peer, new TableQuestion("t", 0, true), TIMEOUT);
    CompletableFuture<TableChanges> first =
        asking.relay.ask(peer, new TableQuestion("u", 0, true), SHORT_TIMEOUT);
    while (!first.isDone()) {
      asking.relay.ask(peer, QUESTION, TIMEOUT).get();
      Thread.sleep(10);
    }
    expectThrows(ExecutionException.class, first::get);
    late.complete(newChanges(8));
    assertEquals(pending.get(), newChanges(8));
  }

  @Test
  public void readerThatLacksTheHistorySaysSo() {
    reader.tables =
        question -> CompletableFuture.failedFuture(new HistoryLostException("read", "table"));
    CompletableFuture<TableChanges> answer = asking.relay.ask(peer, QUESTION, TIMEOUT);
    ExecutionException error = expectThrows(ExecutionException.class, answer::get);
    assertTrue(HistoryLostException.isIn(error));
  }

  @Test
  public void lossOfTheReaderFailsTheQuestionAtOnce() throws Exception {
    CompletableFuture<Void> isAsked = new CompletableFuture<>();
    reader.tables =
        question -> {
          isAsked.complete(null);
          return new CompletableFuture<>();
        };
    CompletableFuture<TableChanges> answer = asking.relay.ask(peer, QUESTION, TIMEOUT);
    isAsked.get();
    reader.relay.close();
    expectThrows(ExecutionException.class, answer::get);
  }

  @Test
  public void entryThatDoesNotListenFailsTheQuestion() {
    reader.relay.close();
    CompletableFuture<TableChanges> answer = asking.relay.ask(peer, QUESTION, SHORT_TIMEOUT);
    expectThrows(ExecutionException.class, answer::get);
  }
}
