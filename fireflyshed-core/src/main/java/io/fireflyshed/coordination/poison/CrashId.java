package io.fireflyshed.coordination.poison;

import io.fireflyshed.state.instance.InstanceId;
import java.util.Objects;

/**
 * Identifies a crash of a target, so that reports of several entries on the same crash count once.
 *
 * @param target the target, not null
 * @param startMillis the start of the incarnation that crashed, in milliseconds of the wall clock
 */
public record CrashId(InstanceId target, long startMillis) {

  /** Validates the components. */
  public CrashId {
    Objects.requireNonNull(target, "target");
  }
}
