package io.fireflyshed.transport.http;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import reactor.core.publisher.Mono;

/**
 * Waits until everything that has arrived on connections was read, so that the end of a connection
 * is seen before work for its peer starts. Thread safe.
 */
@FunctionalInterface
public interface ReadBarrier {

  /**
   * Waits until what has arrived so far was read.
   *
   * @return completes then, never null
   */
  Mono<Void> await();

  /**
   * Creates a barrier for the connections of an event loop.
   *
   * <p>A task that the loop schedules while it runs tasks is due in its next pass, after it has
   * read from all connections that are ready.
   *
   * @param loop the event loop, not null
   * @return the barrier, never null
   */
  static ReadBarrier of(EventLoop loop) {
    return () ->
        Mono.create(
            sink ->
                loop.execute(() -> loop.schedule(() -> sink.success(), 0, TimeUnit.NANOSECONDS)));
  }
}
