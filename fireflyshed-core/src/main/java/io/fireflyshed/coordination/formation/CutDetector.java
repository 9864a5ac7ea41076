package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tells from replies and failures whether the coordinator, rather than single engines, may be cut
 * off: several engines failed to reply and none has replied since. Not thread safe.
 */
final class CutDetector {

  /** What a reply ended. */
  enum Interruption {
    /** The coordinator didn't count as cut off. */
    NONE,
    /** So short a time without replies that the loss of some engines explains it. */
    PAUSE,
    /** A time without replies that shows that the coordinator was cut off. */
    CUT
  }

  /** The number of engines that must fail to reply, unless there are fewer. */
  private static final int MIN_FAILED = 3;

  /** Sound engines that are asked at once reply sooner than this after the others failed. */
  private static final Duration MIN_CUT = Duration.ofMillis(300);

  /** The engines that failed since the last reply of any engine. */
  private final Set<InstanceId> unanswered = new HashSet<>();

  /** The engines that failed earlier and haven't replied, although others have. */
  private final Set<InstanceId> knownFailing = new HashSet<>();

  private boolean isCutOff;
  private long cutNanos;

  /**
   * Records that an engine failed to reply.
   *
   * @return whether it is the first to do so since the last reply of any engine
   */
  boolean recordFailure(InstanceId engine) {
    return !knownFailing.contains(engine) && unanswered.add(engine) && unanswered.size() == 1;
  }

  /**
   * Records that an engine replied.
   *
   * @return what the reply ended, never null
   */
  Interruption recordReply(InstanceId engine, long nowNanos) {
    Interruption ended = Interruption.NONE;
    if (isCutOff) {
      boolean isCut = nowNanos - cutNanos >= MIN_CUT.toNanos();
      ended = isCut ? Interruption.CUT : Interruption.PAUSE;
    }
    isCutOff = false;
    knownFailing.addAll(unanswered);
    knownFailing.remove(engine);
    unanswered.clear();
    return ended;
  }

  /**
   * Tests whether the coordinator counts as cut off.
   *
   * @param engines the number of known engines
   * @param nowNanos the current time of the monotonic clock
   */
  boolean isCutOff(int engines, long nowNanos) {
    int required = Math.min(MIN_FAILED, Math.max(1, engines - knownFailing.size()));
    if (!isCutOff && unanswered.size() >= required) {
      isCutOff = true;
      cutNanos = nowNanos;
    }
    return isCutOff;
  }

  /** Returns a copy of the engines that failed since the last reply of any engine. */
  List<InstanceId> getUnanswered() {
    return List.copyOf(unanswered);
  }

  /** Forgets the failures of engines that are no longer known. */
  void retain(Set<InstanceId> engines) {
    unanswered.retainAll(engines);
    knownFailing.retainAll(engines);
  }
}
