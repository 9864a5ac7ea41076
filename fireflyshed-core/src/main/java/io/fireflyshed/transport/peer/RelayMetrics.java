package io.fireflyshed.transport.peer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Counts relays and offers. Used on the thread of the connections only. */
final class RelayMetrics {

  /** The outcome of a relay whose response was complete. */
  static final String COMPLETE = "complete";

  /** The outcome of a relay that its caller cancelled. */
  static final String CANCELLED = "cancelled";

  private final MeterRegistry registry;
  private final Map<String, Counter> counters = new HashMap<>();

  RelayMetrics(MeterRegistry registry) {
    this.registry = registry;
  }

  /** Records the end of a request that was sent to another entry, or that no entry took. */
  void recordSent(String outcome) {
    increment("fireflyshed.relay.sent", "outcome", outcome);
  }

  /** Records the end of a request that was served for another entry. */
  void recordServed(String outcome) {
    increment("fireflyshed.relay.served", "outcome", outcome);
  }

  /** Records how an offer to another entry ended. */
  void recordOffer(String result) {
    increment("fireflyshed.relay.offers", "result", result);
  }

  /** Records an offer of another entry that was refused. */
  void recordRefusal(String reason) {
    increment("fireflyshed.relay.refusals", "reason", reason);
  }

  /** Records the time for which a request of another entry may have waited until it was read. */
  void recordLateRead(Duration delay) {
    registry.timer("fireflyshed.relay.read.late").record(delay);
  }

  private void increment(String name, String tag, String value) {
    counters
        .computeIfAbsent(
            name + "/" + value,
            key -> Counter.builder(name).tags(Tags.of(tag, value)).register(registry))
        .increment();
  }
}
