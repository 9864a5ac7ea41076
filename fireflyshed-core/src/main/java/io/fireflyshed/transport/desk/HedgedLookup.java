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
 * Looks up on the best target and asks the next one if the answer is late or fails.
 *
 * <p>Only lookups may be asked twice; orders must not go through here. The first answer counts
 * (hedged requests; Dean and Barroso, 2013). Thread safe.
 */
public final class HedgedLookup {

  private final PlainService service;
  private final TargetPicker picker;
  private final MonotonicClock clock;
  private final Duration delay;

  /**
   * Creates a lookup.
   *
   * @param service talks to targets, not null
   * @param picker orders targets, not null
   * @param clock the clock of this process, not null
   * @param delay how long to wait for an answer before the next target is asked, not null
   */
  public HedgedLookup(
      PlainService service, TargetPicker picker, MonotonicClock clock, Duration delay) {
    this.service = Objects.requireNonNull(service, "service");
    this.picker = Objects.requireNonNull(picker, "picker");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.delay = Objects.requireNonNull(delay, "delay");
  }

  /**
   * Looks up a past order.
   *
   * @param targets the usable targets, not null, not empty
   * @param key the key to look up, not null
   * @return a future of the first answer; it fails like the last target if all fail
   */
  public CompletableFuture<DeskReply> lookup(List<InstanceRecord> targets, String key) {
    if (targets.isEmpty()) {
      throw new IllegalArgumentException("targets must not be empty");
    }
    Call call = new Call(picker.sort(targets, clock.nanoTime()).iterator(), targets.size(), key);
    call.askNext();
    return call.answer;
  }

  /** One lookup, whose methods may be called by several threads. */
  private final class Call {

    private final Iterator<InstanceRecord> targets;
    private final String key;
    private final CompletableFuture<DeskReply> answer = new CompletableFuture<>();
    private int open;

    Call(Iterator<InstanceRecord> targets, int count, String key) {
      this.targets = targets;
      this.key = key;
      this.open = count;
    }

    void askNext() {
      InstanceRecord target;
      synchronized (this) {
        if (answer.isDone() || !targets.hasNext()) {
          return;
        }
        target = targets.next();
      }
      picker.onStart(target.id());
      service.lookup(target, key).whenComplete((reply, error) -> onEnd(target, reply, error));
      Executor later = CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS);
      later.execute(this::askNext);
    }

    private void onEnd(InstanceRecord target, DeskReply reply, Throwable error) {
      picker.onEnd(target.id(), error == null, clock.nanoTime());
      if (error == null) {
        answer.complete(reply);
        return;
      }
      boolean isLast;
      synchronized (this) {
        open--;
        isLast = open == 0;
      }
      if (isLast) {
        answer.completeExceptionally(error);
      } else {
        askNext();
      }
    }
  }
}
