package io.fireflyshed.protocol.poison;

import io.fireflyshed.coordination.poison.RequestFingerprints;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Describes a crash of a target as an entry saw it.
 *
 * @param sharedTime when the target crashed, as the time that all entries share, empty if the entry
 *     didn't know that time, not null
 * @param requests the requests that waited for the target, copied, not null
 */
public record ReportedCrash(Optional<Duration> sharedTime, List<RequestFingerprints> requests) {

  /** Validates the components and copies the list. */
  public ReportedCrash {
    Objects.requireNonNull(sharedTime, "sharedTime");
    requests = List.copyOf(requests);
  }

  /**
   * Joins this with another description of the same crash.
   *
   * @param other the other description, not null
   * @return the earliest known time and the requests of both, never null
   */
  public ReportedCrash join(ReportedCrash other) {
    Optional<Duration> earliest =
        Stream.of(sharedTime, other.sharedTime)
            .flatMap(Optional::stream)
            .min(Comparator.naturalOrder());
    List<RequestFingerprints> all = new ArrayList<>(requests);
    all.addAll(other.requests);
    return new ReportedCrash(earliest, all);
  }
}
