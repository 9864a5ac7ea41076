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
 * Finds streams whose target stands still and streams whose connection is dead.
 *
 * <p>A replica that lost a member accepts requests and answers none. Its streams all stop at once,
 * while a busy replica moves some stream in each pass. So a target stands still if none of its
 * streams moved for a while, and a connection is dead if one stream is silent much longer while the
 * others of its target go on. Thread safe.
 */
public final class StallDetector {

  /**
   * Names a stream that must be given up.
   *
   * @param key identifies the stream, not null
   * @param target the target, not null
   * @param isTargetStalled whether all streams of the target stand still
   */
  public record Stall(Object key, InstanceId target, boolean isTargetStalled) {}

  /** One stream that is watched. */
  private static final class Watched {
    private final InstanceId target;
    private long lastNanos;
    private boolean hasEvents;

    Watched(InstanceId target, long nowNanos) {
      this.target = target;
      this.lastNanos = nowNanos;
    }
  }

  private final PlacementSettings settings;
  private final Map<Object, Watched> streams = new HashMap<>();
  private final Map<InstanceId, Long> progress = new HashMap<>();

  /**
   * Creates a detector.
   *
   * @param settings the limits, not null
   */
  public StallDetector(PlacementSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /**
   * Starts to watch a stream.
   *
   * @param key identifies the stream, not null
   * @param target the target, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public synchronized void start(Object key, InstanceId target, long nowNanos) {
    streams.put(key, new Watched(target, nowNanos));
  }

  /**
   * Takes in an event of a stream.
   *
   * @param key identifies the stream, not null
   * @param nowNanos the reading of the monotonic clock
   * @return the time since the event before, or -1 if it is the first or the stream isn't watched
   */
  public synchronized long onEvent(Object key, long nowNanos) {
    Watched stream = streams.get(key);
    if (stream == null) {
      return -1;
    }
    long gap = stream.hasEvents ? nowNanos - stream.lastNanos : -1;
    stream.hasEvents = true;
    stream.lastNanos = nowNanos;
    progress.put(stream.target, nowNanos);
    return gap;
  }

  /**
   * Ends the watch of a stream.
   *
   * @param key identifies the stream, not null
   */
  public synchronized void end(Object key) {
    Watched stream = streams.remove(key);
    if (stream != null && streams.values().stream().noneMatch(s -> sameTarget(s, stream))) {
      progress.remove(stream.target);
    }
  }

  private static boolean sameTarget(Watched one, Watched other) {
    return one.target.equals(other.target);
  }

  /**
   * Finds the streams to give up.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return the streams, never null
   */
  public synchronized List<Stall> findStalls(long nowNanos) {
    Set<InstanceId> stalled = new HashSet<>();
    streams.values().stream()
        .filter(s -> isTargetStalled(s, nowNanos))
        .forEach(s -> stalled.add(s.target));
    List<Stall> stalls = new ArrayList<>();
    streams.forEach(
        (key, stream) -> {
          boolean isTarget = stalled.contains(stream.target);
          if (isTarget || nowNanos - stream.lastNanos > settings.connectionStall().toNanos()) {
            stalls.add(new Stall(key, stream.target, isTarget));
          }
        });
    return stalls;
  }

  private boolean isTargetStalled(Watched stream, long nowNanos) {
    long limit = (stream.hasEvents ? settings.eventStall() : settings.firstEventStall()).toNanos();
    Long moved = progress.get(stream.target);
    long silence =
        moved == null
            ? nowNanos - stream.lastNanos
            : Math.min(nowNanos - moved, nowNanos - stream.lastNanos);
    return silence > limit;
  }
}
