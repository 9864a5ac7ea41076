package io.fireflyshed.transport.forward;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import reactor.netty.http.server.HttpServerResponse;

/** Records the requests of callers. Thread safe. */
final class CallerMetrics {

  private final MeterRegistry registry;
  private final Timer lateReads;
  private final Map<String, Timer> timers = new ConcurrentHashMap<>();

  CallerMetrics(MeterRegistry registry) {
    this.registry = registry;
    this.lateReads = registry.timer("fireflyshed.requests.read.late");
  }

  /** Records the end of a request. */
  void recordEnd(HttpServerResponse response, String signalName, Duration time) {
    String status = String.valueOf(response.status().code());
    timers
        .computeIfAbsent(status + " " + signalName, key -> newTimer(status, signalName))
        .record(time);
  }

  private Timer newTimer(String status, String signalName) {
    return Timer.builder("fireflyshed.requests")
        .tag("status", status)
        .tag("end", signalName)
        .publishPercentileHistogram()
        .register(registry);
  }

  /** Records the time for which a request waited until this process read it. */
  void recordLateRead(Duration delay) {
    lateReads.record(delay);
  }
}
