package io.fireflyshed.transport.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.poison.CrashFingerprint;
import io.fireflyshed.coordination.poison.CrashLedger;
import io.fireflyshed.coordination.poison.CrashSettings;
import io.fireflyshed.coordination.poison.RequestFingerprints;
import io.fireflyshed.protocol.poison.CrashReport;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.ManualScheduler;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.transport.forward.CrashTrial;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

/** Tests {@link CrashReportExchange} with many entries in virtual time. */
public class CrashReportExchangeTest {

  private static final RequestFingerprints BAD = newRequest("bad");
  private static final CrashSettings SETTINGS = CrashSettings.ofDefaults();
  private static final Duration STEP = Duration.ofMillis(10);
  private static final int STEPS_PER_SECOND = 100;

  /** The steps between two copies of the request that crashes targets. */
  private static final int COPY_INTERVAL = 10;

  private static final int CRASHES_BEFORE_REFUSAL = 3;
  private static final int MAX_LATE_ATTEMPTS = 3;

  /** The delay between two calls that show whether the table is in reach, and their timeout. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

  private static final Duration POLL_TIMEOUT = Duration.ofMillis(1500);

  /** The time after which an entry in reach of the table must refuse the request. */
  private static final int RECOGNITION_STEPS = 3 * STEPS_PER_SECOND;

  /** The steps in which an entry has claimed a trial or found that it can't. */
  private static final int CLAIM_STEPS = 3;

  /** The time from an attempt to the crash of its target. */
  private static final Duration RUN_TIME = Duration.ofMillis(150);

  private final ManualClock clock = new ManualClock();
  private final List<Entry> entries = new ArrayList<>();
  private UniformRandomProvider random;
  private SharedTable table;
  private int step;
  private int crashes;
  private int thirdCrashStep;
  private int lateAttempts;
  private boolean isWritingDelegated;
  private boolean isFirstLost;
  private boolean isFirstKnownLost;

  /** One entry, whose process may be replaced. */
  private final class Entry {
    private final String name;
    private SharedTable.Access access;
    private ManualScheduler control;
    private CrashReportExchange exchange;

    /** The first step at which the entry had its table in reach without interruption. */
    private int reachableSince;

    Entry(String name) {
      this.name = name;
      restart();
    }

    void restart() {
      reachableSince = step;
      control = new ManualScheduler(clock);
      access = table.new Access();
      long clockOffset = random.nextInt() * 1_000_000L;
      MonotonicClock entryClock = () -> clock.nanoTime() + clockOffset;
      exchange =
          new CrashReportExchange(
              access,
              access,
              newWriter(),
              name,
              new CrashLedger(SETTINGS),
              control,
              entryClock,
              SharedTable.newSharedClock(clock, entryClock),
              random);
      exchange.start();
      poll();
    }

    /** Has the first entry write the reports of the others, if the test says so. */
    private ReportWriter newWriter() {
      return new ReportWriter() {
        @Override
        public Optional<CompletableFuture<Void>> write(CrashReport report) {
          return isDelegated() ? Optional.of(sendToFirst(report)) : Optional.empty();
        }

        @Override
        public boolean isDelegated() {
          return isWritingDelegated && entries.get(0) != Entry.this && !isFirstKnownLost;
        }
      };
    }

    private CompletableFuture<Void> sendToFirst(CrashReport report) {
      if (isFirstLost) {
        isFirstKnownLost = true;
        return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
      }
      entries.get(0).exchange.accept(report);
      return CompletableFuture.completedFuture(null);
    }

    /** Makes other calls to the table, whose failures the exchange is told. */
    private void poll() {
      boolean isFailing = !access.isReachable();
      Runnable next =
          () -> {
            if (isFailing) {
              exchange.onTableServiceFailed();
            }
            poll();
          };
      long delay = (isFailing ? POLL_TIMEOUT : POLL_INTERVAL).toMillis();
      control.schedule(next, delay, TimeUnit.MILLISECONDS);
    }

    void setCut(boolean isCut) {
      access.setCut(isCut);
      reachableSince = isCut ? Integer.MAX_VALUE : step;
    }

    boolean isRefusing(RequestFingerprints request) {
      return exchange.getRefusal(request).isPresent();
    }
  }

  /** Starts with an empty table and no entries. */
  @BeforeMethod
  public void setUp() {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    table = new SharedTable(clock);
    entries.clear();
    step = 0;
    crashes = 0;
    thirdCrashStep = Integer.MAX_VALUE;
    lateAttempts = 0;
    isWritingDelegated = false;
    isFirstLost = false;
    isFirstKnownLost = false;
  }

  private void addEntries(int count) {
    for (int i = 0; i < count; i++) {
      entries.add(new Entry("entry-" + entries.size()));
    }
  }

  /** Has all entries see the same three crashes, each a moment after the one before. */
  private void crashThreeTargetsAtAllEntries() {
    for (int crash = 0; crash < CRASHES_BEFORE_REFUSAL; crash++) {
      Target target = newTarget("t" + crash, 1);
      for (Entry entry : entries) {
        if (!isFirstLost || entry != entries.get(0)) {
          entry.exchange.onInterrupted(BAD, target);
        }
      }
      advance(STEPS_PER_SECOND);
    }
    advance(6 * STEPS_PER_SECOND);
  }

  @Test
  public void oneEntryWritesTheReportsOfMany() {
    isWritingDelegated = true;
    addEntries(19);
    advance(STEPS_PER_SECOND);
    int before = table.getWrites();
    crashThreeTargetsAtAllEntries();
    entries.forEach(e -> assertTrue(e.isRefusing(BAD)));
    int writes = table.getWrites() - before;
    assertTrue(writes <= 2 * CRASHES_BEFORE_REFUSAL + 1, writes + " writes");
  }

  @Test
  public void reportsAreWrittenByTheirEntriesOnceTheWriterIsLost() {
    isWritingDelegated = true;
    isFirstLost = true;
    addEntries(5);
    advance(STEPS_PER_SECOND);
    crashThreeTargetsAtAllEntries();
    entries.forEach(e -> assertTrue(e.isRefusing(BAD)));
    addEntries(1);
    advance(STEPS_PER_SECOND);
    assertTrue(entries.get(5).isRefusing(BAD), "a process that starts later doesn't know");
  }

  private static RequestFingerprints newRequest(String id) {
    return new RequestFingerprints(
        new CrashFingerprint(CrashFingerprint.Kind.REQUEST, id), Set.of());
  }

  /** Creates a prompt that has one part in common with all others. */
  private static RequestFingerprints newPrompt(int number) {
    return new RequestFingerprints(
        new CrashFingerprint(CrashFingerprint.Kind.REQUEST, "prompt-" + number),
        Set.of(CrashFingerprint.ofPart(new ServiceName("cards"), "common")));
  }

  private static Target newTarget(String id, long startMillis) {
    return new Target(
        new InstanceId(id),
        new ServiceName("cards"),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        new AvailabilityZone("a"),
        false,
        1,
        startMillis,
        Optional.empty());
  }

  private void advance(int steps) {
    for (int i = 0; i < steps; i++) {
      step++;
      clock.advance(STEP);
      table.runDue();
      entries.forEach(e -> e.control.runDue());
    }
  }

  /**
   * Sends copies of a request that crashes its targets to random entries.
   *
   * @param steps the number of steps to play
   * @param event is called at each step before the copies are sent
   */
  private void play(int steps, IntConsumer event) {
    ManualScheduler targets = new ManualScheduler(clock);
    for (int i = 0; i < steps; i++) {
      event.accept(i);
      targets.runDue();
      if (i % COPY_INTERVAL == 0) {
        sendCopy(entries.get(random.nextInt(entries.size())), targets);
      }
      advance(1);
    }
  }

  private void sendCopy(Entry entry, ManualScheduler targets) {
    if (entry.isRefusing(BAD)) {
      return;
    }
    boolean isLate =
        thirdCrashStep != Integer.MAX_VALUE && step - thirdCrashStep > RECOGNITION_STEPS;
    boolean isInTouch =
        entry.reachableSince != Integer.MAX_VALUE
            && step - entry.reachableSince > RECOGNITION_STEPS;
    lateAttempts += isLate && isInTouch ? 1 : 0;
    CrashReportExchange exchange = entry.exchange;
    Runnable crash =
        () -> {
          crashes++;
          thirdCrashStep = crashes == CRASHES_BEFORE_REFUSAL ? step : thirdCrashStep;
          exchange.onInterrupted(BAD, newTarget("target-" + crashes, 1));
        };
    targets.schedule(crash, RUN_TIME.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void assertRecognized() {
    assertTrue(crashes >= CRASHES_BEFORE_REFUSAL, "only " + crashes + " crashes");
    assertTrue(
        lateAttempts <= MAX_LATE_ATTEMPTS,
        lateAttempts + " late attempts, " + crashes + " crashes");
  }

  /** Provides numbers of entries of small and large deployments. */
  @DataProvider
  public Object[][] entryCounts() {
    return new Object[][] {{9}, {59}, {68}};
  }

  @Test(dataProvider = "entryCounts")
  public void allEntriesRefuseARequestThatCrashedTargetsAtOtherEntries(int entryCount) {
    addEntries(entryCount);
    advance(STEPS_PER_SECOND);
    play(15 * STEPS_PER_SECOND, i -> {});
    assertRecognized();
    assertTrue(entries.stream().allMatch(e -> e.isRefusing(BAD)));
  }

  @Test(dataProvider = "entryCounts")
  public void entriesThatStartLaterRefuseTheRequestToo(int entryCount) {
    addEntries(entryCount);
    advance(STEPS_PER_SECOND);
    play(
        20 * STEPS_PER_SECOND,
        i -> {
          if (i % 70 == 0) {
            entries.get(random.nextInt(entries.size())).restart();
          }
          if (i == 5 * STEPS_PER_SECOND) {
            addEntries(3);
          }
          if (i == 8 * STEPS_PER_SECOND) {
            entries.forEach(Entry::restart);
          }
        });
    assertRecognized();
  }

  @Test(dataProvider = "entryCounts")
  public void entriesThatWereCutOffRefuseTheRequestOnceTheyReachTheTable(int entryCount) {
    addEntries(entryCount);
    advance(STEPS_PER_SECOND);
    List<Entry> cutEntries = entries.subList(0, entryCount / 3);
    play(
        20 * STEPS_PER_SECOND,
        i -> {
          if (i == 10 || i == 6 * STEPS_PER_SECOND) {
            cutEntries.forEach(e -> e.setCut(i == 10));
          }
        });
    assertRecognized();
  }

  @Test(dataProvider = "entryCounts")
  public void reportsAreExchangedAfterAnOutageOfTheTable(int entryCount) {
    addEntries(entryCount);
    advance(STEPS_PER_SECOND);
    play(
        20 * STEPS_PER_SECOND,
        i -> {
          if (i == 5 || i == 6 * STEPS_PER_SECOND) {
            table.setSilent(i == 5);
            entries.forEach(e -> e.reachableSince = i == 5 ? Integer.MAX_VALUE : step);
          }
        });
    assertRecognized();
  }

  @Test
  public void refusalSurvivesARestoreOfTheTableFromAnOlderCopy() {
    addEntries(9);
    advance(STEPS_PER_SECOND);
    Map<RowKey, Row> copy = table.copyRows();
    long copyVersion = table.getVersion();
    play(5 * STEPS_PER_SECOND, i -> {});
    table.setSilent(true);
    advance(STEPS_PER_SECOND);
    table.restore(copy, copyVersion);
    table.setSilent(false);
    advance(RECOGNITION_STEPS);
    entries.forEach(Entry::restart);
    advance(1);
    assertTrue(entries.stream().allMatch(e -> e.isRefusing(BAD)));
  }

  @Test
  public void reportsAreReadAfterTheTableDroppedItsHistory() {
    addEntries(9);
    advance(STEPS_PER_SECOND);
    play(10 * STEPS_PER_SECOND, i -> table.dropHistory());
    assertRecognized();
  }

  @Test
  public void crashThatSeveralEntriesReportCountsOnce() {
    addEntries(9);
    advance(STEPS_PER_SECOND);
    for (int round = 0; round < 2; round++) {
      Target target = newTarget("target", round);
      entries.forEach(e -> e.exchange.onInterrupted(newRequest("copies"), target));
      advance(STEPS_PER_SECOND);
    }
    assertTrue(entries.stream().noneMatch(e -> e.isRefusing(newRequest("copies"))));
  }

  @Test
  public void requestThatSucceededElsewhereIsNotRefusedWhenAllTargetsCrashAtOnce() {
    addEntries(9);
    advance(STEPS_PER_SECOND);
    entries.get(0).exchange.onSuccess(newRequest("popular"));
    advance(STEPS_PER_SECOND);
    for (int i = 1; i <= 3; i++) {
      entries.get(i).exchange.onInterrupted(newRequest("popular"), newTarget("target-" + i, 1));
    }
    advance(STEPS_PER_SECOND);
    assertTrue(entries.stream().noneMatch(e -> e.isRefusing(newRequest("popular"))));
  }

  @Test
  public void requestThatSucceededElsewhereIsNotRefusedWhenTargetsCrashOneAfterTheOther() {
    addEntries(9);
    advance(STEPS_PER_SECOND);
    entries.get(0).exchange.onSuccess(newRequest("popular"));
    for (int i = 1; i <= 3; i++) {
      advance(STEPS_PER_SECOND);
      entries.get(i).exchange.onInterrupted(newRequest("popular"), newTarget("target-" + i, 1));
    }
    advance(STEPS_PER_SECOND);
    assertTrue(entries.stream().noneMatch(e -> e.isRefusing(newRequest("popular"))));
  }

  /** Guards against an outage of several targets that makes a whole model unservable. */
  @Test(dataProvider = "entryCounts")
  public void partOfAllPromptsIsNotRefusedWhenTargetsCrashTogetherAtAQuietTime(int entryCount) {
    addEntries(entryCount);
    advance(STEPS_PER_SECOND);
    Entry late = entries.get(1);
    late.setCut(true);
    for (int i = 0; i < 9; i++) {
      entries.get(i).exchange.onInterrupted(newPrompt(i), newTarget("target-" + i % 4, 1));
    }
    advance(2 * STEPS_PER_SECOND);
    late.setCut(false);
    advance(5 * STEPS_PER_SECOND);
    assertTrue(entries.stream().noneMatch(e -> e.isRefusing(newPrompt(100))));
    entries.forEach(Entry::restart);
    advance(STEPS_PER_SECOND);
    assertTrue(entries.stream().noneMatch(e -> e.isRefusing(newPrompt(100))));
  }

  @Test
  public void successOfARefusedRequestClearsItAtAllEntries() {
    addEntries(9);
    advance(STEPS_PER_SECOND);
    for (int i = 1; i <= 3; i++) {
      entries.get(i).exchange.onInterrupted(newRequest("unlucky"), newTarget("target-" + i, 1));
      advance(STEPS_PER_SECOND);
    }
    assertTrue(entries.stream().allMatch(e -> e.isRefusing(newRequest("unlucky"))));
    entries.get(0).exchange.onSuccess(newRequest("unlucky"));
    advance(STEPS_PER_SECOND);
    assertTrue(entries.stream().noneMatch(e -> e.isRefusing(newRequest("unlucky"))));
    entries.get(2).restart();
    advance(STEPS_PER_SECOND);
    assertFalse(entries.get(2).isRefusing(newRequest("unlucky")));
  }

  @Test
  public void refusalExpires() {
    addEntries(2);
    advance(STEPS_PER_SECOND);
    play(5 * STEPS_PER_SECOND, i -> {});
    assertTrue(entries.get(0).isRefusing(BAD));
    clock.advance(SETTINGS.expiry());
    advance(20 * STEPS_PER_SECOND);
    assertFalse(entries.get(0).isRefusing(BAD));
    entries.get(1).restart();
    advance(STEPS_PER_SECOND);
    assertFalse(entries.get(1).isRefusing(BAD));
  }

  @Test
  public void writesAreLimitedWhileManyConnectionsBreakOff() {
    addEntries(59);
    advance(STEPS_PER_SECOND);
    int writes = table.getWrites();
    for (int i = 0; i < 5 * STEPS_PER_SECOND; i++) {
      String id = "request-" + i;
      entries.forEach(e -> e.exchange.onInterrupted(newRequest(id + e.name), newTarget("grey", 1)));
      advance(1);
    }
    assertTrue(table.getWrites() - writes <= 59 * 2 * 6, "writes: " + (table.getWrites() - writes));
    assertEquals(
        entries.stream().filter(e -> e.isRefusing(newRequest("request-0entry-0"))).count(), 0);
  }

  /** Has two requests wait for a target that crashes, at one entry after the other. */
  private void crashInTurn(int count, int firstPrompt) {
    for (int i = 0; i < count; i++) {
      Target target = newTarget("head", firstPrompt + i);
      for (int j = 0; j < 2; j++) {
        Entry entry = entries.get((2 * i + j) % entries.size());
        entry.exchange.onInterrupted(newPrompt(firstPrompt + 2 * i + j), target);
      }
      advance(4 * STEPS_PER_SECOND);
    }
  }

  private boolean areAllRefusing(boolean isRefusing) {
    return entries.stream().allMatch(e -> e.isRefusing(newPrompt(1000)) == isRefusing);
  }

  /** Requests a trial at an entry and returns it if it may be used. */
  private Optional<CrashTrial> takeTrial(Entry entry, RequestFingerprints request) {
    Mono<CrashTrial> granted = entry.exchange.requestTrial(request);
    advance(CLAIM_STEPS);
    try {
      return Optional.of(granted.toFuture().get(5, TimeUnit.SECONDS)).filter(CrashTrial::isUsable);
    } catch (InterruptedException | ExecutionException | TimeoutException e) {
      throw new AssertionError("no answer to a request for a trial", e);
    }
  }

  // Guards against the refusal of a model whose prompts share a part, after crashes in turn.
  @Test(dataProvider = "entryCounts")
  public void partOfAllPromptsThatRanIsNotRefusedWhenTargetsCrashInTurnAtAQuietTime(
      int entryCount) {
    addEntries(entryCount);
    advance(STEPS_PER_SECOND);
    for (int i = 0; i < 24; i++) {
      entries.get(i % 2).exchange.onSuccess(newPrompt(i));
    }
    advance(11 * STEPS_PER_SECOND);
    crashInTurn(1, 100);
    for (int i = 1; i < entryCount; i += 2) {
      entries.get(i).restart();
    }
    crashInTurn(2, 200);
    assertTrue(areAllRefusing(false));
    entries.forEach(Entry::restart);
    advance(STEPS_PER_SECOND);
    assertTrue(areAllRefusing(false));
  }

  // Guards against a wrong refusal that can only end after 15 minutes.
  @Test(dataProvider = "entryCounts")
  public void successOfATrialEndsARefusalAtAllEntries(int entryCount) {
    addEntries(entryCount);
    advance(STEPS_PER_SECOND);
    crashInTurn(3, 0);
    assertTrue(areAllRefusing(true));
    entries.forEach(Entry::restart);
    advance(2 * STEPS_PER_SECOND);
    assertTrue(areAllRefusing(true));
    List<CrashTrial> trials = new ArrayList<>();
    RequestFingerprints prompt = newPrompt(500);
    for (Entry entry : entries) {
      takeTrial(entry, prompt).ifPresent(trials::add);
    }
    assertEquals(trials.size(), 1);
    trials.get(0).use();
    entries.get(0).exchange.onSuccess(prompt);
    advance(STEPS_PER_SECOND);
    assertTrue(areAllRefusing(false));
    entries.forEach(Entry::restart);
    advance(STEPS_PER_SECOND);
    assertTrue(areAllRefusing(false));
  }

  // Guards against trials that crash more targets than a refusal is to prevent.
  @Test
  public void trialsOfAllEntriesTogetherAreFewWhileAPartCrashesItsTargets() {
    addEntries(9);
    advance(STEPS_PER_SECOND);
    crashInTurn(3, 0);
    int trials = 0;
    for (int round = 0; round < SETTINGS.expiry().toSeconds() / 20 - 2; round++) {
      trials += countTrials(20);
      entries.get(round % entries.size()).restart();
    }
    assertEquals(trials, SETTINGS.trials().maxTrials());
  }

  // Guards against trials that are made once more since a restore of the table lost them.
  @Test
  public void trialsThatTheTableLostAreNotMadeAgainByProcessesThatStartLater() {
    addEntries(9);
    advance(STEPS_PER_SECOND);
    crashInTurn(3, 0);
    advance(3 * STEPS_PER_SECOND);
    Map<RowKey, Row> copy = table.copyRows();
    long copyVersion = table.getVersion();
    assertEquals(countTrials(40), SETTINGS.trials().maxTrials());
    table.restore(copy, copyVersion);
    advance(15 * STEPS_PER_SECOND);
    entries.forEach(Entry::restart);
    advance(STEPS_PER_SECOND);
    assertEquals(countTrials(60), 0);
  }

  /** Counts the trials of all entries, each of which crashes its target. */
  private int countTrials(int seconds) {
    int trials = 0;
    for (int second = 0; second < seconds; second++) {
      for (Entry entry : entries) {
        RequestFingerprints prompt = newPrompt(20_000 + step);
        Optional<CrashTrial> trial = takeTrial(entry, prompt);
        if (trial.isPresent()) {
          trials++;
          trial.get().use();
          entry.exchange.onInterrupted(prompt, newTarget("head", 1000L + step));
        }
      }
      advance(STEPS_PER_SECOND - CLAIM_STEPS * entries.size());
    }
    return trials;
  }

  @Test
  public void trialThatARequestCannotUseGoesToTheNextOne() {
    addEntries(3);
    advance(STEPS_PER_SECOND);
    crashInTurn(3, 0);
    advance(3 * STEPS_PER_SECOND);
    Entry entry = entries.get(0);
    CrashTrial trial = takeTrial(entry, newPrompt(500)).orElseThrow();
    assertTrue(takeTrial(entry, newPrompt(501)).isEmpty());
    trial.giveBack();
    assertTrue(takeTrial(entry, newPrompt(502)).isPresent());
  }

  @Test
  public void entryThatCannotReachTheTableMakesNoTrial() {
    addEntries(3);
    advance(STEPS_PER_SECOND);
    crashInTurn(3, 0);
    entries.get(0).setCut(true);
    advance(3 * STEPS_PER_SECOND);
    assertTrue(takeTrial(entries.get(0), newPrompt(500)).isEmpty());
  }
}
