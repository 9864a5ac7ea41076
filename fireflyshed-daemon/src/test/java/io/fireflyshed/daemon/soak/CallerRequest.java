package io.fireflyshed.daemon.soak;

import io.fireflyshed.standins.fleet.FleetStandIn;
import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A request of a caller, which may be sent in several attempts.
 *
 * @param id the start of the ids of its attempts, not null
 * @param work the time for which its target works on it, not null
 * @param events the number of events of a stream
 */
record CallerRequest(Kind kind, String id, Duration work, Duration deadline, int events) {

  /** Lists the kinds of requests, one for each route of the stand-in. */
  enum Kind {
    STREAM("POST", "/chat/", true),
    ORDER("POST", "/orders/", false),
    LOOKUP("GET", "/lookups/", true);

    private final String method;
    private final String prefix;
    private final boolean isRepeatable;

    Kind(String method, String prefix, boolean isRepeatable) {
      this.method = method;
      this.prefix = prefix;
      this.isRepeatable = isRepeatable;
    }

    String getPrefix() {
      return prefix;
    }

    boolean isRepeatable() {
      return isRepeatable;
    }
  }

  private static final int MIN_INTERVAL_MILLIS = 10;
  private static final int MAX_INTERVAL_MILLIS = 100;
  private static final int MIN_STREAM_MILLIS = 50;

  /** Some streams last almost as long as the grace time. */
  private static final int MAX_STREAM_MILLIS = 6000;

  /** Entries repeat a lookup at another target after three times its target latency of 200 ms. */
  private static final int MAX_LOOKUP_MILLIS = 300;

  private static final int MAX_ORDER_MILLIS = 1200;

  /** Deadlines leave this time, in milliseconds, so that they pass only if something is wrong. */
  private static final int MIN_SPARE_MILLIS = 2000;

  private static final int MAX_SPARE_MILLIS = 6000;

  static CallerRequest newRandom(Kind kind, String id, UniformRandomProvider random) {
    int workMillis;
    int events = 0;
    if (kind == Kind.STREAM) {
      // The logarithm of the length is uniform, so that most streams are short.
      double ratio = (double) MAX_STREAM_MILLIS / MIN_STREAM_MILLIS;
      double millis = MIN_STREAM_MILLIS * Math.pow(ratio, random.nextDouble());
      int interval = MIN_INTERVAL_MILLIS + random.nextInt(MAX_INTERVAL_MILLIS);
      events = Math.max(2, (int) (millis / interval));
      workMillis = events * interval;
    } else {
      int maxMillis = kind == Kind.ORDER ? MAX_ORDER_MILLIS : MAX_LOOKUP_MILLIS;
      workMillis = random.nextBoolean() ? 0 : random.nextInt(maxMillis);
    }
    int spareMillis = MIN_SPARE_MILLIS + random.nextInt(MAX_SPARE_MILLIS - MIN_SPARE_MILLIS);
    return new CallerRequest(
        kind,
        id,
        Duration.ofMillis(workMillis),
        Duration.ofMillis(workMillis + spareMillis),
        events);
  }

  String getPath() {
    String query =
        kind == Kind.STREAM
            ? "?events=" + events + "&interval_ms=" + work.toMillis() / events
            : "?delay_ms=" + work.toMillis();
    return kind.prefix + id + query;
  }

  String getBody() {
    return kind == Kind.LOOKUP ? "" : "{\"text\":\"" + id + "\"}";
  }

  String getHead(String attempt, Duration left) {
    String head =
        kind.method
            + " "
            + getPath()
            + " HTTP/1.1\r\nHost: "
            + FleetStandIn.HOST
            + "\r\nX-Attempt-Id: "
            + attempt
            + "\r\nX-Deadline-Ms: "
            + left.toMillis()
            + "\r\nAuthorization: Bearer "
            + FleetStandIn.KEY
            + "\r\n";
    if (kind == Kind.STREAM) {
      head += "X-Model: " + FleetStandIn.MODEL + "\r\nX-Token-Usage: 100,30\r\n";
    }
    if (kind != Kind.LOOKUP) {
      head += "Content-Length: " + getBody().length() + "\r\n";
    }
    return head + "\r\n";
  }

  /** Returns the body of a complete answer to an attempt. */
  String getExpectedBody(String attempt) {
    if (kind != Kind.STREAM) {
      return getPath() + "|" + getBody();
    }
    StringBuilder stream = new StringBuilder();
    for (int i = 1; i <= events; i++) {
      stream.append("id: ").append(i).append("\ndata: token ").append(i);
      stream.append(" of ").append(attempt).append("\n\n");
    }
    return stream.toString();
  }
}
