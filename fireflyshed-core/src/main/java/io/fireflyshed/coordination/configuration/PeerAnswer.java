package io.fireflyshed.coordination.configuration;

import io.fireflyshed.state.configuration.ConfigurationRecord;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The answer of a peer to the question which configuration version it has in force.
 *
 * @param inForce the version in force, or empty if there is none, not null
 * @param evidenceAgeNanos the time between the start of the read that proved this version to be the
 *     newest and this answer, not negative, or empty if there is no such proof, not null
 */
public record PeerAnswer(Optional<ConfigurationRecord> inForce, OptionalLong evidenceAgeNanos) {

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if the age of the evidence is negative
   */
  public PeerAnswer {
    Objects.requireNonNull(inForce, "inForce");
    Objects.requireNonNull(evidenceAgeNanos, "evidenceAgeNanos");
    if (evidenceAgeNanos.orElse(0) < 0) {
      throw new IllegalArgumentException("evidenceAgeNanos must not be negative");
    }
  }
}
