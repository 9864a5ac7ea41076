package io.fireflyshed.state.configuration;

import io.fireflyshed.state.replica.ModelServiceSpec;
import java.util.Objects;

/**
 * Holds the configuration of one model service.
 *
 * @param spec what the operator wants, not null
 * @param engine the kind of its targets, not null
 * @param groupDowntimeWeight the cost of a replica that does not serve, for each second
 * @param strandedAcceleratorsWeight the cost of an accelerator that is held and does not serve, for
 *     each second
 */
public record ServiceConfiguration(
    ModelServiceSpec spec,
    String engine,
    double groupDowntimeWeight,
    double strandedAcceleratorsWeight) {

  /** Checks the parts of the record. */
  public ServiceConfiguration {
    Objects.requireNonNull(spec, "spec");
    Objects.requireNonNull(engine, "engine");
  }
}
