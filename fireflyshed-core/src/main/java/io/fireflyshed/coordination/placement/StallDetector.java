package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Detects targets that are silent or stalled and streams whose connection is dead.
 *
 * <p>A replica that lost a member accepts requests and answers none, so all its streams stop at the
 * same time, while a busy replica advances some of its streams in each pass. A target is therefore
 * silent if none of its streams had an event for a while. A sound target may be silent for about a
 * second and go on, so it counts as stalled only after a longer time. A connection is dead if one
 * stream is silent for much longer while other streams of its target have events. Thread safe.
 */
public final class StallDetector {

  /**
   * A stream that should be resumed elsewhere.
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
  private final Map<Object, TrackedStream> streams = new LinkedHashMap<>();
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
   * Records an event that a stream had before, which shows that its target is not silent, but does
   * not advance the stream.
   *
   * @param key the key of the stream, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public synchronized void onRepeatedEvent(Object key, long nowNanos) {
    TrackedStream stream = streams.get(key);
    if (stream != null) {
      lastProgressNanos.put(stream.target, nowNanos);
    }
  }

  /**
   * Records that a stream is not read, so that it can't have events whatever its target does.
   *
   * @param key the key of the stream, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public synchronized void onUnread(Object key, long nowNanos) {
    TrackedStream stream = streams.get(key);
    if (stream != null) {
      stream.lastEventNanos = nowNanos;
    }
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
   * Finds the targets that should get no new requests because none of their streams has events.
   *
   * @param nowNanos the current time of the monotonic clock
   * @return the silent targets, including the stalled ones, never null
   */
  public synchronized Set<InstanceId> findSilentTargets(long nowNanos) {
    return streams.values().stream()
        .filter(s -> getSilenceNanos(s, nowNanos) > getSilenceTimeout(s).toNanos())
        .map(s -> s.target)
        .collect(Collectors.toSet());
  }

  /**
   * Finds the targets of which a stream had an event within the time after which they would count
   * as silent.
   *
   * @param nowNanos the current time of the monotonic clock
   * @return the targets, never null
   */
  public synchronized Set<InstanceId> findResponsiveTargets(long nowNanos) {
    long timeoutNanos = settings.silenceTimeout().toNanos();
    return lastProgressNanos.entrySet().stream()
        .filter(e -> nowNanos - e.getValue() <= timeoutNanos)
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  private Duration getSilenceTimeout(TrackedStream stream) {
    return stream.hasEvents ? settings.silenceTimeout() : settings.firstEventSilenceTimeout();
  }

  /**
   * Finds the streams that should be resumed elsewhere.
   *
   * @param nowNanos the current time of the monotonic clock
   * @return the streams of stalled targets and those with a dead connection, never null
   */
  public synchronized List<Stall> findStalls(long nowNanos) {
    Set<InstanceId> stalled =
        streams.values().stream()
            .filter(s -> getSilenceNanos(s, nowNanos) > settings.stallTimeout().toNanos())
            .map(s -> s.target)
            .collect(Collectors.toSet());
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

  /**
   * Gets the time since the last event of a stream.
   *
   * @param key the key of the stream, not null
   * @param nowNanos the current time of the monotonic clock
   * @return the time since the last event or the start, zero if the stream isn't tracked, never
   *     null
   */
  public synchronized Duration getSilence(Object key, long nowNanos) {
    TrackedStream stream = streams.get(key);
    return stream == null ? Duration.ZERO : Duration.ofNanos(nowNanos - stream.lastEventNanos);
  }

  /** Returns the time for which neither a stream nor any other of its target had an event. */
  private long getSilenceNanos(TrackedStream stream, long nowNanos) {
    Long progressNanos = lastProgressNanos.get(stream.target);
    return progressNanos == null
        ? nowNanos - stream.lastEventNanos
        : Math.min(nowNanos - progressNanos, nowNanos - stream.lastEventNanos);
  }
}
