package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.traffic.Rank;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Describes what the placement of a request depends on. Immutable.
 *
 * @param route the name of the route, not null
 * @param pool the name of a set of interchangeable targets, such as a model, not null
 * @param isModelPool whether the targets are replicas of a model, which queue requests themselves
 * @param rank how urgent the request is, not null
 * @param account the name of the client account, empty on public routes, not null
 * @param promptTokens the number of tokens in the prompt, 0 without a prompt
 * @param estimatedOutputTokens the caller's estimate of the number of output tokens, empty if it
 *     states none, not null
 * @param maxOutputTokens the maximum number of output tokens, 0 if not stated
 * @param bodyBytes the length of the body in bytes
 * @param latencyTarget the time within which the response, or the first event of a stream, is on
 *     time, not null
 */
public record RequestDescriptor(
    String route,
    String pool,
    boolean isModelPool,
    Rank rank,
    Optional<String> account,
    int promptTokens,
    OptionalInt estimatedOutputTokens,
    int maxOutputTokens,
    int bodyBytes,
    Duration latencyTarget) {

  /** Validates the components. */
  public RequestDescriptor {
    Objects.requireNonNull(route, "route");
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(rank, "rank");
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(estimatedOutputTokens, "estimatedOutputTokens");
    Objects.requireNonNull(latencyTarget, "latencyTarget");
  }

  /**
   * Describes a request of which only the targets are known.
   *
   * @param pool the pool, not null
   * @param isModelPool whether the targets are replicas of a model
   * @return the description, never null
   */
  public static RequestDescriptor ofPool(String pool, boolean isModelPool) {
    return new RequestDescriptor(
        pool,
        pool,
        isModelPool,
        Rank.FIRST,
        Optional.empty(),
        0,
        OptionalInt.empty(),
        0,
        0,
        Duration.ZERO);
  }
}
