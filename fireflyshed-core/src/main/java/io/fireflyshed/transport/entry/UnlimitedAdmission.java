package io.fireflyshed.transport.entry;

import java.util.Objects;
import reactor.core.publisher.Mono;

/** Admits every request at once. Thread safe. */
public final class UnlimitedAdmission implements Admission {

  @Override
  public Mono<Permit> admit(AdmissionRequest request) {
    Objects.requireNonNull(request, "request");
    return Mono.just(tokens -> {});
  }
}
