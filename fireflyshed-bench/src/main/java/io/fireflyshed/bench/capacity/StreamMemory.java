package io.fireflyshed.bench.capacity;

import io.fireflyshed.bench.relay.RelaySite;
import java.time.Duration;
import java.util.List;

/** Measures the heap of open streams: the entry, the engine and the caller in one process. */
final class StreamMemory implements SlopeMeasurement {

  private static final Duration TOKEN_INTERVAL = Duration.ofMillis(100);
  private static final int TOKENS = 1000;

  @Override
  public String getName() {
    return "stream-memory";
  }

  @Override
  public String getUnit() {
    return "bytes";
  }

  @Override
  public List<Integer> getSizes() {
    return List.of(100, 300, 900);
  }

  @Override
  public double measure(int size) {
    try (RelaySite site = new RelaySite(TOKENS, TOKEN_INTERVAL)) {
      return site.measureOpenStreams(size);
    }
  }
}
