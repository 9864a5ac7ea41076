package io.fireflyshed.coordination.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link CrashLedger}. */
public class CrashLedgerTest {

  private static final CrashSettings SETTINGS = CrashSettings.ofDefaults();
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  private static final CrashFingerprint REQUEST = newRequest("f");

  /** The time before its report at which the first crash of a test happened. */
  private static final long REPORT_DELAY_SECONDS = 100;

  private CrashLedger ledger;
  private int reports;

  /** Creates an empty ledger. */
  @BeforeMethod
  public void setUp() {
    ledger = new CrashLedger(SETTINGS);
    reports = 0;
  }

  private static CrashFingerprint newRequest(String id) {
    return new CrashFingerprint(CrashFingerprint.Kind.REQUEST, id);
  }

  private static CrashFingerprint newPart(String id) {
    return new CrashFingerprint(CrashFingerprint.Kind.PART, id);
  }

  private static CrashId newCrash(String target, long startMillis) {
    return new CrashId(new InstanceId(target), startMillis);
  }

  /**
   * Records a crash of a request without parts, a second or more after the one before, and returns
   * what is refused because of it.
   */
  private List<CrashFingerprint> recordCrash(String target, long startMillis, long atSeconds) {
    long now = atSeconds * SECOND_NANOS;
    long crashNanos = now - (REPORT_DELAY_SECONDS - reports++) * SECOND_NANOS;
    RequestFingerprints request = new RequestFingerprints(REQUEST, Set.of());
    ledger.recordCrash(request, newCrash(target, startMillis), crashNanos, now);
    return ledger.judge(now).refused();
  }

  /**
   * Records that a request of its own with some parts waited for a target that crashed, a second
   * after the crash with the number before.
   */
  private void recordPrompt(String request, int crash, long atSeconds, String... parts) {
    Set<CrashFingerprint> fingerprints =
        Arrays.stream(parts).map(CrashLedgerTest::newPart).collect(Collectors.toSet());
    ledger.recordCrash(
        new RequestFingerprints(newRequest(request), fingerprints),
        newCrash("t" + crash, 1),
        (crash - REPORT_DELAY_SECONDS) * SECOND_NANOS,
        atSeconds * SECOND_NANOS);
  }

  private boolean isRefused(long atSeconds) {
    return ledger.getRefusal(REQUEST, atSeconds * SECOND_NANOS).isPresent();
  }

  @Test
  public void runsTheExampleInTheJavadoc() {
    CrashFingerprint fingerprint = REQUEST;
    CrashLedger ledger = new CrashLedger(CrashSettings.ofDefaults());
    RequestFingerprints bad = new RequestFingerprints(fingerprint, Set.of());
    long second = 1_000_000_000L;
    ledger.recordCrash(bad, new CrashId(new InstanceId("t1"), 1), 0, 0);
    ledger.recordCrash(bad, new CrashId(new InstanceId("t2"), 1), second, second);
    ledger.recordCrash(bad, new CrashId(new InstanceId("t1"), 2), 2 * second, 2 * second);
    List<CrashFingerprint> refused = ledger.judge(2 * second).refused(); // fingerprint
    assertEquals(refused, List.of(fingerprint));
  }

  @Test
  public void requestIsRefusedAfterTheThirdCrash() {
    assertEquals(recordCrash("t1", 1, 0), List.of());
    assertEquals(recordCrash("t2", 1, 1), List.of());
    assertFalse(isRefused(1));
    assertEquals(recordCrash("t3", 1, 2), List.of(REQUEST));
    assertTrue(isRefused(2));
    assertEquals(recordCrash("t4", 1, 3), List.of());
  }

  @Test
  public void crashReportedAgainCountsOnce() {
    for (int i = 0; i < 5; i++) {
      recordCrash("t1", 1, i);
      recordCrash("t2", 1, i);
    }
    assertFalse(isRefused(5));
  }

  @Test
  public void crashesAndRefusalsExpire() {
    recordCrash("t1", 1, 0);
    recordCrash("t2", 1, 0);
    long expirySeconds = SETTINGS.expiry().toSeconds();
    recordCrash("t3", 1, expirySeconds);
    assertFalse(isRefused(expirySeconds));
    recordCrash("t4", 1, expirySeconds);
    recordCrash("t5", 1, expirySeconds);
    assertTrue(isRefused(2 * expirySeconds - 1));
    assertFalse(isRefused(2 * expirySeconds));
  }

  @Test
  public void successBetweenCrashesClearsTheRequest() {
    recordCrash("t1", 1, 0);
    recordCrash("t2", 1, 0);
    ledger.recordSuccess(REQUEST, SECOND_NANOS);
    assertTrue(ledger.clearIfSuccessful(REQUEST, SECOND_NANOS));
    assertEquals(recordCrash("t3", 1, 2), List.of());
  }

  @Test
  public void successBeforeTheCrashesClearsTheRequestForAMomentOnly() {
    ledger.recordSuccess(REQUEST, 0);
    recordCrash("t1", 1, 1);
    recordCrash("t2", 1, 1);
    assertTrue(ledger.clearIfSuccessful(REQUEST, SECOND_NANOS));
    recordCrash("t3", 1, 3);
    recordCrash("t4", 1, 3);
    assertFalse(ledger.clearIfSuccessful(REQUEST, 3 * SECOND_NANOS));
    assertEquals(recordCrash("t5", 1, 3), List.of(REQUEST));
  }

  @Test
  public void oldSuccessDoesNotClearTheRequest() {
    ledger.recordSuccess(REQUEST, 0);
    long later = SETTINGS.successMemory().toSeconds();
    recordCrash("t1", 1, later);
    recordCrash("t2", 1, later);
    assertFalse(ledger.clearIfSuccessful(REQUEST, later * SECOND_NANOS));
  }

  @Test
  public void successOfAnUnsuspiciousRequestIsNotReported() {
    ledger.recordSuccess(REQUEST, 0);
    assertFalse(ledger.clearIfSuccessful(REQUEST, 0));
    recordCrash("t1", 1, 0);
    assertFalse(ledger.clearIfSuccessful(REQUEST, 0));
  }

  @Test
  public void oldestFingerprintsAreForgottenBeyondTheMaximum() {
    Duration expiry = SETTINGS.expiry();
    ledger =
        new CrashLedger(
            new CrashSettings(
                2,
                2,
                2,
                Duration.ZERO,
                Duration.ZERO,
                expiry,
                expiry,
                expiry,
                2,
                2,
                TrialSettings.ofDefaults()));
    for (int i = 0; i < 4; i++) {
      recordPrompt("f" + i, 1, 0);
      recordPrompt("f" + i, 2, 0);
      ledger.judge(0);
    }
    assertEquals(ledger.countRefusals(), 2);
    assertTrue(ledger.getRefusal(newRequest("f0"), 0).isEmpty());
  }

  @Test
  public void partOfDifferentPromptsIsRefusedOnceItsCrashesHaveSettled() {
    for (int i = 0; i < 3; i++) {
      recordPrompt("f" + i, i, 0, "bad");
    }
    assertEquals(ledger.judge(0).refused(), List.of());
    assertEquals(ledger.judge(SECOND_NANOS).refused(), List.of(newPart("bad")));
  }

  @Test
  public void partOfASingleRequestIsNotBlamed() {
    for (int i = 0; i < 5; i++) {
      recordPrompt("f", i, 0, "part");
    }
    assertEquals(ledger.judge(SECOND_NANOS).refused(), List.of(newRequest("f")));
  }

  @Test
  public void partsThatOnlyRanBesideTheCulpritAreNotRefused() {
    for (int i = 0; i < 5; i++) {
      recordPrompt("f" + i, i, 0, "bad");
      recordPrompt("g" + i, i, 0, i > 0 ? "beside" : "other");
    }
    assertEquals(ledger.judge(SECOND_NANOS).refused(), List.of(newPart("bad")));
    assertTrue(ledger.getRefusal(newPart("beside"), SECOND_NANOS).isEmpty());
  }

  @Test
  public void partsInTheSameCrashesAreToldApartByFurtherCrashes() {
    for (int i = 0; i < 4; i++) {
      recordPrompt("f" + i, i, 0, "bad");
      recordPrompt("g" + i, i, 0, "beside");
    }
    assertEquals(ledger.judge(SECOND_NANOS).refused(), List.of());
    recordPrompt("f4", 4, 1, "bad");
    assertEquals(ledger.judge(2 * SECOND_NANOS).refused(), List.of(newPart("bad")));
  }

  @Test
  public void partsInTheSameCrashesAreAllRefusedInTheEnd() {
    for (int i = 0; i < 5; i++) {
      recordPrompt("f" + i, i, 0, "bad");
      recordPrompt("g" + i, i, 0, "beside");
    }
    assertEquals(
        Set.copyOf(ledger.judge(SECOND_NANOS).refused()),
        Set.of(newPart("bad"), newPart("beside")));
  }

  @Test
  public void partThatWasRefusedWithTheCulpritIsReleasedByFurtherCrashes() {
    for (int i = 0; i < 5; i++) {
      recordPrompt("f" + i, i, 0, "bad");
      recordPrompt("g" + i, i, 0, "beside");
    }
    ledger.judge(SECOND_NANOS);
    recordPrompt("f5", 5, 1, "bad");
    CrashLedger.Judgement judgement = ledger.judge(SECOND_NANOS);
    assertEquals(judgement.refused(), List.of());
    assertEquals(judgement.released(), List.of(newPart("beside")));
    assertTrue(ledger.getRefusal(newPart("bad"), SECOND_NANOS).isPresent());
  }

  @Test
  public void twoPartsThatCrashDifferentTargetsAreBothRefused() {
    for (int i = 0; i < 8; i++) {
      recordPrompt("f" + i, i, 0, i % 2 == 0 ? "bad" : "worse");
    }
    recordPrompt("f8", 8, 0, "bad");
    assertEquals(ledger.judge(SECOND_NANOS).refused(), List.of(newPart("bad"), newPart("worse")));
  }

  /** Tests parts that are in each crash since nearly all requests have them. */
  public static class CommonParts {

    private static final CrashFingerprint COMMON = newPart("cards-common");

    private CrashLedger ledger;
    private int prompts;

    /** Creates an empty ledger. */
    @BeforeMethod
    public void setUp() {
      ledger = new CrashLedger(SETTINGS);
    }

    private RequestFingerprints newPrompt(CrashFingerprint... parts) {
      return new RequestFingerprints(newRequest("f" + prompts++), Set.of(parts), "large");
    }

    private void serve(int count, long atSeconds, CrashFingerprint... parts) {
      for (int i = 0; i < count; i++) {
        ledger.recordSuccess(newPrompt(parts), atSeconds * SECOND_NANOS);
      }
    }

    /** Has targets crash one after the other, each while two prompts wait, and judges then. */
    private Set<CrashFingerprint> crash(int count, long fromSeconds, CrashFingerprint... parts) {
      long now = 0;
      for (int i = 0; i < count; i++) {
        now = (fromSeconds + 18L * i) * SECOND_NANOS;
        CrashId crash = newCrash("t", prompts);
        ledger.recordCrash(newPrompt(parts), crash, now, now);
        ledger.recordCrash(newPrompt(parts), crash, now, now);
      }
      return Set.copyOf(ledger.judge(now + SETTINGS.settleTime().toNanos()).refused());
    }

    // Guards against the refusal of a whole model after three crashes in turn at a quiet time.
    @Test
    public void partOfAllRequestsThatRanIsNotBlamedForThreeCrashes() {
      serve(24, 0, COMMON);
      assertEquals(crash(3, 20, COMMON), Set.of());
    }

    // Guards against a part that is never refused since it was sound once.
    @Test
    public void partOfAllRequestsThatRanIsBlamedForTwiceAsManyCrashes() {
      serve(24, 0, COMMON);
      assertEquals(crash(SETTINGS.maxCommonCrashes(), 20, COMMON), Set.of(COMMON));
    }

    // Guards against a part that crashes targets and has never run, but isn't refused.
    @Test
    public void partThatNeverRanIsBlamedForThreeCrashes() {
      serve(24, 0, newPart("cards-other"));
      assertEquals(crash(3, 20, COMMON), Set.of(COMMON));
    }

    // Guards against a refusal that covers the prompts beside those that crash targets.
    @Test
    public void partWithinACommonOneIsBlamedAlone() {
      CrashFingerprint bad = newPart("cards-bad");
      serve(24, 0, COMMON);
      assertEquals(crash(3, 20, COMMON, bad), Set.of(bad));
    }

    // Guards against a hot service whose rare parts can never be blamed.
    @Test
    public void partThatIsMuchRarerAmongWhatRanIsBlamed() {
      serve(1, 0, COMMON);
      serve(9, 0, newPart("cards-other"));
      assertEquals(crash(3, 20, COMMON), Set.of(COMMON));
    }

    // Guards against the refusal of a model that has a small part of the requests of its service.
    @Test
    public void successesOfAnotherModelDoNotMakeAPartRare() {
      serve(4, 0, COMMON);
      for (int i = 0; i < 100; i++) {
        Set<CrashFingerprint> parts = Set.of(newPart("cards-other"));
        ledger.recordSuccess(new RequestFingerprints(newRequest("s" + i), parts, "small"), 0);
      }
      assertEquals(crash(3, 20, COMMON), Set.of());
    }

    @Test
    public void successesOfAnotherServiceDoNotMakeAPartRare() {
      serve(1, 0, COMMON);
      serve(9, 0, newPart("desk-other"));
      assertEquals(crash(3, 20, COMMON), Set.of());
    }

    @Test
    public void successesAreForgottenLikeCrashes() {
      serve(24, 0, COMMON);
      long expirySeconds = SETTINGS.expiry().toSeconds();
      assertEquals(crash(3, expirySeconds, COMMON), Set.of(COMMON));
    }

    @Test
    public void commonPartIsReleasedAtAnEntryThatDidNotSeeItRun() {
      assertEquals(crash(3, 0, COMMON), Set.of(COMMON));
      long now = 40 * SECOND_NANOS;
      assertTrue(ledger.recordCommon(COMMON, now));
      assertTrue(ledger.getRefusal(COMMON, now).isEmpty());
      assertEquals(ledger.judge(now).refused(), List.of());
    }
  }

  /** Tests when a refused request may run as a trial. */
  public static class Trials {

    private static final TrialSettings TRIALS = SETTINGS.trials();
    private static final long START = 7 * SECOND_NANOS;

    private CrashLedger ledger;

    /** Creates a ledger that refuses a request. */
    @BeforeMethod
    public void setUp() {
      ledger = new CrashLedger(SETTINGS);
      ledger.refuse(REQUEST, new Refusal(START, 0, START));
    }

    private boolean isDue(Duration sinceRefusal) {
      return ledger.areTrialsDue(Set.of(REQUEST), START + sinceRefusal.toNanos());
    }

    private Duration getRetryAfter(Duration sinceRefusal) {
      return ledger.getRefusal(REQUEST, START + sinceRefusal.toNanos()).orElseThrow();
    }

    @Test
    public void callersAreToldWhenTheFirstTrialMayCome() {
      assertEquals(getRetryAfter(Duration.ZERO), TRIALS.firstDelay());
      assertFalse(isDue(TRIALS.firstDelay().minusMillis(1)));
      assertTrue(isDue(TRIALS.firstDelay()));
      assertEquals(getRetryAfter(TRIALS.firstDelay()), TRIALS.resultTime());
    }

    @Test
    public void callersAreToldToWaitForTheResultAndThenForTheNextTrial() {
      Duration first = TRIALS.firstDelay();
      ledger.recordTrial(REQUEST, START + first.toNanos());
      assertFalse(isDue(first));
      assertEquals(getRetryAfter(first), TRIALS.resultTime());
      Duration later = first.plus(TRIALS.resultTime());
      assertEquals(getRetryAfter(later), TRIALS.interval().minus(TRIALS.resultTime()));
      assertTrue(isDue(first.plus(TRIALS.interval())));
    }

    // Guards against a retry delay that no trial follows.
    @Test
    public void callersAreToldTheEndOfTheRefusalAfterTheLastTrial() {
      for (int i = 0; i < TRIALS.maxTrials(); i++) {
        ledger.recordTrial(REQUEST, START + i);
      }
      Duration later = Duration.ofMinutes(2);
      assertEquals(getRetryAfter(later), SETTINGS.expiry().minus(later));
      assertFalse(isDue(later));
    }

    @Test
    public void trialsOfOtherEntriesCount() {
      ledger.refuse(REQUEST, new Refusal(START, TRIALS.maxTrials(), START + 1));
      assertFalse(isDue(Duration.ofMinutes(2)));
    }
  }

  /** Tests crashes of several targets that may have a common cause. */
  public static class Outages {

    /** The time at which all crashes are recorded. */
    private static final Duration REPORT_TIME = Duration.ofSeconds(10);

    private CrashLedger ledger;
    private int targets;

    /** Creates an empty ledger. */
    @BeforeMethod
    public void setUp() {
      ledger = new CrashLedger(SETTINGS);
    }

    /** Records crashes of several targets while each had a prompt with the same part. */
    private void crashTargets(int count, Duration time) {
      for (int i = 0; i < count; i++) {
        RequestFingerprints prompt =
            new RequestFingerprints(newRequest("f" + targets), Set.of(newPart("common")));
        ledger.recordCrash(
            prompt, newCrash("t" + targets++, 1), time.toNanos(), REPORT_TIME.toNanos());
        ledger.recordCrash(
            new RequestFingerprints(newRequest("copies"), Set.of()),
            newCrash("t" + targets++, 1),
            time.toNanos(),
            REPORT_TIME.toNanos());
      }
    }

    private Set<CrashFingerprint> judge() {
      return Set.copyOf(ledger.judge(REPORT_TIME.plus(SETTINGS.settleTime()).toNanos()).refused());
    }

    @Test
    public void crashesOfOneMomentAreNoEvidence() {
      crashTargets(20, Duration.ZERO);
      crashTargets(20, SETTINGS.outageWindow().minusMillis(1));
      assertEquals(judge(), Set.of());
    }

    @Test
    public void twoOutagesAreNoEvidence() {
      crashTargets(20, Duration.ZERO);
      crashTargets(20, Duration.ofSeconds(1));
      assertEquals(judge(), Set.of());
    }

    @Test
    public void crashesThatGoOnForLongerThanAnOutageAreEvidence() {
      Duration gap = Duration.ofMillis(50);
      for (int i = 0; i * gap.toMillis() <= 2 * SETTINGS.outageWindow().toMillis(); i++) {
        crashTargets(1, gap.multipliedBy(i));
      }
      assertEquals(judge(), Set.of(newPart("common"), newRequest("copies")));
    }

    @Test
    public void earliestReportedTimeOfACrashCounts() {
      RequestFingerprints request = new RequestFingerprints(REQUEST, Set.of());
      for (int i = 0; i < 3; i++) {
        long reportNanos = i * SECOND_NANOS;
        ledger.recordCrash(request, newCrash("t" + i, 1), reportNanos, reportNanos);
        ledger.recordCrash(request, newCrash("t" + i, 1), 0, reportNanos);
      }
      assertEquals(ledger.judge(2 * SECOND_NANOS).refused(), List.of());
    }
  }

  @Test
  public void requestIsReleasedWhenAPartOfOtherPromptsExplainsItsCrashes() {
    for (int i = 0; i < 3; i++) {
      recordPrompt("beside", i, 0, "sound");
      recordPrompt("f" + i, i, 0, "bad");
    }
    assertEquals(ledger.judge(0).refused(), List.of(newRequest("beside")));
    CrashLedger.Judgement judgement = ledger.judge(SECOND_NANOS);
    assertEquals(judgement.refused(), List.of(newPart("bad")));
    assertEquals(judgement.released(), List.of(newRequest("beside")));
  }
}
