package io.fireflyshed.transport.entry;

import io.fireflyshed.state.replica.ServiceName;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes a request to the extent that admission needs it.
 *
 * @param account the client account, not null
 * @param service the model service, not null
 * @param priority the priority, higher is sooner
 * @param maxTokens the most tokens that the request may generate, positive
 * @param timeout how long the caller is willing to wait, if it said so, not null
 */
public record AdmissionRequest(
    String account, ServiceName service, int priority, int maxTokens, Optional<Duration> timeout) {

  /** Checks the parts of the record. */
  public AdmissionRequest {
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(timeout, "timeout");
  }
}
