package io.fireflyshed.state.configuration;

import io.fireflyshed.state.replica.ModelServiceSpec;
import java.util.Objects;

/**
 * The configuration of one model service.
 *
 * @param spec the specification of the service, not null
 * @param engine the kind of its targets, not null
 * @param groupDowntimeWeight the cost per second of a replica that does not serve
 * @param strandedAcceleratorsWeight the cost per second of an accelerator that is held but does not
 *     serve
 */
public record ServiceConfiguration(
    ModelServiceSpec spec,
    String engine,
    double groupDowntimeWeight,
    double strandedAcceleratorsWeight) {

  /** Validates the components. */
  public ServiceConfiguration {
    Objects.requireNonNull(spec, "spec");
    Objects.requireNonNull(engine, "engine");
  }
}
