package io.fireflyshed.daemon.soak;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.daemon.soak.CallerAnswer.End;
import io.fireflyshed.standins.fleet.FleetStandIn;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which answers {@link StopChecks} takes for lost. */
public class StopChecksTest {

  private static final Duration DEADLINE = Duration.ofSeconds(4);

  /** Provides the time since the last byte of a stream that its caller left, and the violations. */
  @DataProvider
  public Object[][] silences() {
    return new Object[][] {{Duration.ofMillis(110), 0}, {Duration.ofSeconds(5), 1}};
  }

  @Test(dataProvider = "silences")
  public void streamThatWentSilentIsLost(Duration silence, int violations) throws Exception {
    EntryLife life =
        new EntryLife("entry", new ProcessBuilder("true"), Files.createTempFile("entry", ".log"));
    CallerRequest request =
        new CallerRequest(CallerRequest.Kind.STREAM, "id", Duration.ofSeconds(2), DEADLINE, 20);
    long end = System.nanoTime();
    long start = end - DEADLINE.plusSeconds(2).toNanos();
    CallerAnswer answer =
        new CallerAnswer(
            End.TIMED_OUT,
            200,
            Map.of("x-replica-signature", "s"),
            "",
            start,
            end - silence.toNanos());
    CallerAttempt attempt =
        new CallerAttempt(request, "ida1", life, "1#1", DEADLINE, start, start, 0, answer, end);
    try (FleetStandIn fleet = new FleetStandIn(0, 0)) {
      StopChecks checks = new StopChecks(fleet, List.of(life), List.of(attempt));
      assertEquals(checks.findViolations().size(), violations);
    } finally {
      life.close();
    }
  }

  /** Provides the times between a refusal and the next request, if any, and the violations. */
  @DataProvider
  public Object[][] nextRequests() {
    return new Object[][] {
      {Optional.empty(), true, 0},
      {Optional.empty(), false, 1},
      {Optional.of(Duration.ofMillis(-1)), true, 0},
      {Optional.of(Duration.ofMillis(-1)), false, 1},
      {Optional.of(Duration.ofMillis(1)), true, 1}
    };
  }

  @Test(dataProvider = "nextRequests")
  public void lastRefusalOfAConnectionClosesIt(
      Optional<Duration> next, boolean isLastClosing, int violations) throws Exception {
    EntryLife life =
        new EntryLife(
            "entry", new ProcessBuilder("sleep", "60"), Files.createTempFile("e", ".log"));
    try (FleetStandIn fleet = new FleetStandIn(0, 0)) {
      life.signal("TERM");
      long sent = System.nanoTime() + Duration.ofSeconds(1).toNanos();
      long refused = sent + Duration.ofMillis(5).toNanos();
      List<CallerAttempt> attempts = new ArrayList<>();
      attempts.add(newRefused(life, 1, sent, refused, isLastClosing && next.isEmpty()));
      next.ifPresent(
          time ->
              attempts.add(
                  newRefused(
                      life,
                      2,
                      refused + time.toNanos(),
                      refused + Duration.ofMillis(5).toNanos(),
                      isLastClosing)));
      StopChecks checks = new StopChecks(fleet, List.of(), attempts);
      assertEquals(checks.findViolations().size(), violations);
    } finally {
      life.close();
    }
  }

  private static CallerAttempt newRefused(
      EntryLife life, int number, long sentNanos, long answerNanos, boolean isClosing) {
    CallerRequest request =
        new CallerRequest(CallerRequest.Kind.LOOKUP, "id" + number, Duration.ZERO, DEADLINE, 0);
    Map<String, String> headers =
        isClosing
            ? Map.of("retry-after", "0.050", "connection", "close")
            : Map.of("retry-after", "0.050");
    CallerAnswer answer =
        new CallerAnswer(End.COMPLETE, 503, headers, "", answerNanos, answerNanos);
    return new CallerAttempt(
        request,
        request.id() + "a1",
        life,
        "1#" + number,
        DEADLINE,
        sentNanos,
        sentNanos,
        0,
        answer,
        answerNanos);
  }
}
