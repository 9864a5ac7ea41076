package io.fireflyshed.transport.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.test.StepVerifier;

/** Tests {@link StreamUtils}. */
public class StreamUtilsTest {

  private static final String MESSAGE = "signal";

  /** Tests of {@link StreamUtils#failOn}. */
  public static class FailOn {

    @Test
    public void sourceIsNotSubscribedToAfterTheSignal() {
      AtomicBoolean isSubscribed = new AtomicBoolean();
      Flux<Integer> source =
          Flux.defer(
              () -> {
                isSubscribed.set(true);
                return Flux.just(1);
              });
      StepVerifier.create(
              StreamUtils.failOn(source, Mono.just(true), () -> new IllegalStateException(MESSAGE)))
          .verifyErrorMessage(MESSAGE);
      assertFalse(isSubscribed.get());
    }

    @Test
    public void sourceIsCancelledByTheSignal() {
      AtomicBoolean isCancelled = new AtomicBoolean();
      Sinks.One<Boolean> signal = Sinks.one();
      Flux<Integer> source =
          Flux.just(1).concatWith(Flux.never()).doOnCancel(() -> isCancelled.set(true));
      StepVerifier.create(
              StreamUtils.failOn(source, signal.asMono(), () -> new IllegalStateException(MESSAGE)))
          .expectNext(1)
          .then(() -> assertEquals(signal.tryEmitValue(true), Sinks.EmitResult.OK))
          .verifyErrorMessage(MESSAGE);
      assertTrue(isCancelled.get());
    }

    @Test
    public void sourceEndsWithoutErrorBeforeTheSignal() {
      StepVerifier.create(
              StreamUtils.failOn(
                  Flux.just(1, 2), Mono.never(), () -> new IllegalStateException(MESSAGE)))
          .expectNext(1, 2)
          .verifyComplete();
    }

    @Test
    public void sourceGoesOnAfterASignalThatEndsWithoutAnElement() {
      Sinks.Many<Integer> source = Sinks.many().unicast().onBackpressureBuffer();
      Sinks.Empty<Boolean> signal = Sinks.empty();
      StepVerifier.create(
              StreamUtils.failOn(
                  source.asFlux(), signal.asMono(), () -> new IllegalStateException(MESSAGE)))
          .then(() -> source.tryEmitNext(1))
          .expectNext(1)
          .then(() -> assertEquals(signal.tryEmitEmpty(), Sinks.EmitResult.OK))
          .then(() -> source.tryEmitNext(2))
          .expectNext(2)
          .then(source::tryEmitComplete)
          .verifyComplete();
    }

    @Test
    public void errorOfTheSourceIsKeptAfterASignalThatEndsWithoutAnElement() {
      StepVerifier.create(
              StreamUtils.failOn(
                  Flux.error(new IllegalStateException("source")),
                  Mono.empty(),
                  () -> new IllegalStateException(MESSAGE)))
          .verifyErrorMessage("source");
    }
  }
}
