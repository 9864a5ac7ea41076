package io.fireflyshed.transport.entry;

import io.fireflyshed.state.replica.ServiceName;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes the properties of a request that affect its admission.
 *
 * @param account the client account, not null
 * @param service the model service, not null
 * @param priority the priority within the account; higher priorities start first
 * @param maxTokens the maximum number of tokens that the request may generate, positive
 * @param startTimeout how long the caller waits for the request to start, or empty if it sets no
 *     limit, not null
 */
public record AdmissionRequest(
    String account,
    ServiceName service,
    int priority,
    int maxTokens,
    Optional<Duration> startTimeout) {

  /** Validates the components. */
  public AdmissionRequest {
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(startTimeout, "startTimeout");
  }
}
