package io.fireflyshed.transport.desk;

import io.fireflyshed.coordination.routing.TargetPicker;
import io.fireflyshed.protocol.desk.DeskReply;
import io.fireflyshed.protocol.desk.PlainService;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceRecord;
import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * Sends a lookup to the best target, and also to the next one if the response is late or an error.
 *
 * <p>The first successful response is used (hedged requests; Dean and Barroso, 2013). Only lookups
 * may be sent more than once, so orders must not be sent through this class. Thread safe.
 */
public final class HedgedLookup {

  private final PlainService service;
  private final TargetPicker picker;
  private final MonotonicClock clock;
  private final Duration hedgeDelay;

  /**
   * Creates a lookup.
   *
   * @param service sends lookups to targets, not null
   * @param picker sorts targets, not null
   * @param clock the clock of this process, not null
   * @param hedgeDelay how long to wait for a response before the lookup is also sent to the next
   *     target, not null
   */
  public HedgedLookup(
      PlainService service, TargetPicker picker, MonotonicClock clock, Duration hedgeDelay) {
    this.service = Objects.requireNonNull(service, "service");
    this.picker = Objects.requireNonNull(picker, "picker");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.hedgeDelay = Objects.requireNonNull(hedgeDelay, "hedgeDelay");
  }

  /**
   * Looks up a past order.
   *
   * @param targets the usable targets, not null, not empty
   * @param key the key to look up, not null
   * @return a future of the first response; if all targets fail, it fails with the last error
   */
  public CompletableFuture<DeskReply> lookup(List<InstanceRecord> targets, String key) {
    if (targets.isEmpty()) {
      throw new IllegalArgumentException("targets must not be empty");
    }
    HedgedCall call =
        new HedgedCall(picker.sort(targets, clock.nanoTime()).iterator(), targets.size(), key);
    call.sendNext();
    return call.response;
  }

  /** The calls of one lookup. Thread safe. */
  private final class HedgedCall {

    private final Iterator<InstanceRecord> targets;
    private final String key;
    private final CompletableFuture<DeskReply> response = new CompletableFuture<>();
    private int unfinishedTargets;

    HedgedCall(Iterator<InstanceRecord> targets, int targetCount, String key) {
      this.targets = targets;
      this.key = key;
      this.unfinishedTargets = targetCount;
    }

    void sendNext() {
      InstanceRecord target;
      synchronized (this) {
        if (response.isDone() || !targets.hasNext()) {
          return;
        }
        target = targets.next();
      }
      picker.onStart(target.id());
      service.lookup(target, key).whenComplete((reply, error) -> handleEnd(target, reply, error));
      Executor delayedExecutor =
          CompletableFuture.delayedExecutor(hedgeDelay.toMillis(), TimeUnit.MILLISECONDS);
      delayedExecutor.execute(this::sendNext);
    }

    private void handleEnd(InstanceRecord target, DeskReply reply, Throwable error) {
      picker.onEnd(target.id(), error == null, clock.nanoTime());
      if (error == null) {
        response.complete(reply);
        return;
      }
      boolean isLast;
      synchronized (this) {
        unfinishedTargets--;
        isLast = unfinishedTargets == 0;
      }
      if (isLast) {
        response.completeExceptionally(error);
      } else {
        sendNext();
      }
    }
  }
}
