package io.fireflyshed.coordination.configuration;

import io.fireflyshed.state.configuration.ConfigurationRecord;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tells what a process has in force and how fresh its evidence is.
 *
 * @param inForce the version in force, or empty if there is none, not null
 * @param evidenceAgeNanos how long before the answer the read was sent that proved this version to
 *     be the newest, or empty if there is no such proof, not null
 */
public record PeerAnswer(Optional<ConfigurationRecord> inForce, OptionalLong evidenceAgeNanos) {

  /** Checks the parts of the record. */
  public PeerAnswer {
    Objects.requireNonNull(inForce, "inForce");
    Objects.requireNonNull(evidenceAgeNanos, "evidenceAgeNanos");
    if (evidenceAgeNanos.orElse(0) < 0) {
      throw new IllegalArgumentException("evidenceAgeNanos must not be negative");
    }
  }
}
