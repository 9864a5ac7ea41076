package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.instance.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Detects targets that stalled and streams whose connection is dead.
 *
 * <p>A replica that lost a member accepts requests and answers none, so all its streams stop at the
 * same time, while a busy replica advances some of its streams in each pass. A target is therefore
 * stalled if none of its streams had an event for a while. A connection is dead if one stream is
 * silent for much longer while other streams of its target have events. Thread safe.
 */
public final class StallDetector {

  /**
   * A stream that should be aborted.
   *
   * @param key the key of the stream, not null
   * @param target the target, not null
   * @param isTargetStalled whether the target is stalled, rather than this connection only
   */
  public record Stall(Object key, InstanceId target, boolean isTargetStalled) {}

  /** State of one tracked stream. */
  private static final class TrackedStream {
    private final InstanceId target;
    private long lastEventNanos;
    private boolean hasEvents;

    TrackedStream(InstanceId target, long nowNanos) {
      this.target = target;
      this.lastEventNanos = nowNanos;
    }
  }

  private final PlacementSettings settings;
  private final Map<Object, TrackedStream> streams = new HashMap<>();
  private final Map<InstanceId, Long> lastProgressNanos = new HashMap<>();

  /**
   * Creates a detector.
   *
   * @param settings the limits, not null
   */
  public StallDetector(PlacementSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /**
   * Starts to track a stream.
   *
   * @param key the key of the stream, not null
   * @param target the target, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public synchronized void start(Object key, InstanceId target, long nowNanos) {
    streams.put(key, new TrackedStream(target, nowNanos));
  }

  /**
   * Records an event of a stream.
   *
   * @param key the key of the stream, not null
   * @param nowNanos the current time of the monotonic clock
   * @return the time since the last event in nanoseconds, or -1 if this is the first event or the
   *     stream is not tracked
   */
  public synchronized long onEvent(Object key, long nowNanos) {
    TrackedStream stream = streams.get(key);
    if (stream == null) {
      return -1;
    }
    long interval = stream.hasEvents ? nowNanos - stream.lastEventNanos : -1;
    stream.hasEvents = true;
    stream.lastEventNanos = nowNanos;
    lastProgressNanos.put(stream.target, nowNanos);
    return interval;
  }

  /**
   * Stops tracking a stream.
   *
   * @param key the key of the stream, not null
   */
  public synchronized void end(Object key) {
    TrackedStream stream = streams.remove(key);
    if (stream != null && streams.values().stream().noneMatch(s -> isSameTarget(s, stream))) {
      lastProgressNanos.remove(stream.target);
    }
  }

  private static boolean isSameTarget(TrackedStream one, TrackedStream other) {
    return one.target.equals(other.target);
  }

  /**
   * Finds the streams to abort.
   *
   * @param nowNanos the current time of the monotonic clock
   * @return the streams of stalled targets and those with a dead connection, never null
   */
  public synchronized List<Stall> findStalls(long nowNanos) {
    Set<InstanceId> stalled = new HashSet<>();
    streams.values().stream()
        .filter(s -> isTargetStalled(s, nowNanos))
        .forEach(s -> stalled.add(s.target));
    List<Stall> stalls = new ArrayList<>();
    streams.forEach(
        (key, stream) -> {
          boolean isTargetStalled = stalled.contains(stream.target);
          if (isTargetStalled
              || nowNanos - stream.lastEventNanos > settings.connectionStallTimeout().toNanos()) {
            stalls.add(new Stall(key, stream.target, isTargetStalled));
          }
        });
    return stalls;
  }

  private boolean isTargetStalled(TrackedStream stream, long nowNanos) {
    long timeout =
        (stream.hasEvents ? settings.eventStallTimeout() : settings.firstEventStallTimeout())
            .toNanos();
    Long progressNanos = lastProgressNanos.get(stream.target);
    long silentNanos =
        progressNanos == null
            ? nowNanos - stream.lastEventNanos
            : Math.min(nowNanos - progressNanos, nowNanos - stream.lastEventNanos);
    return silentNanos > timeout;
  }
}
