package io.fireflyshed.standins.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** The slots of a target and the requests that wait for one, in their order. Thread safe. */
final class SlotQueue {

  private final TargetCapacity capacity;
  private final Deque<Sinks.Empty<Void>> waiting = new ArrayDeque<>();
  private int running;

  SlotQueue(TargetCapacity capacity) {
    this.capacity = capacity;
  }

  /** Runs work in a slot, or the rejection if the queue is full. */
  Mono<Void> run(Mono<Void> work, Mono<Void> rejection) {
    if (capacity.isUnlimited()) {
      return work;
    }
    return Mono.defer(
        () -> {
          Sinks.Empty<Void> granted = Sinks.empty();
          if (!enter(granted)) {
            return rejection;
          }
          return granted.asMono().then(work).doFinally(signal -> leave(granted));
        });
  }

  private synchronized boolean enter(Sinks.Empty<Void> granted) {
    if (running < capacity.slots()) {
      running++;
      granted.tryEmitEmpty();
      return true;
    }
    return waiting.size() < capacity.queue() && waiting.add(granted);
  }

  private void leave(Sinks.Empty<Void> granted) {
    Sinks.Empty<Void> next;
    synchronized (this) {
      if (waiting.remove(granted)) {
        return;
      }
      next = waiting.poll();
      if (next == null) {
        running--;
      }
    }
    if (next != null) {
      next.tryEmitEmpty();
    }
  }

  /** Returns the load as targets state it, which an unlimited target does not count. */
  synchronized String toLoad() {
    return capacity.isUnlimited()
        ? "1,0," + capacity.slots()
        : running + "," + waiting.size() + "," + capacity.slots();
  }
}
