package io.fireflyshed.coordination.formation;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the times and limits of formation.
 *
 * @param openInterval the pause between two reports of a member of a replica that serves, not null
 * @param formingInterval the same while its replica forms, not null
 * @param spareInterval the same of an engine without a replica, not null
 * @param patience the time without a new engine after which the list counts as complete, not null
 * @param rejoin the time of a join of the model that the engine ran last, not null
 * @param quick the longest time to form that counts as quick, not null
 * @param formTimeout the time after which a replica that doesn't form is given up, not null
 * @param loadWindow the window in which loads of weights are counted, not null
 * @param loadShare the part of the deployment's loads that this zone may begin, 0 to 1
 */
public record FormationSettings(
    Duration openInterval,
    Duration formingInterval,
    Duration spareInterval,
    Duration patience,
    Duration rejoin,
    Duration quick,
    Duration formTimeout,
    Duration loadWindow,
    double loadShare) {

  /** Checks the parts of the record. */
  public FormationSettings {
    Objects.requireNonNull(openInterval, "openInterval");
    Objects.requireNonNull(formingInterval, "formingInterval");
    Objects.requireNonNull(spareInterval, "spareInterval");
    Objects.requireNonNull(patience, "patience");
    Objects.requireNonNull(rejoin, "rejoin");
    Objects.requireNonNull(quick, "quick");
    Objects.requireNonNull(formTimeout, "formTimeout");
    Objects.requireNonNull(loadWindow, "loadWindow");
    if (!(loadShare > 0 && loadShare <= 1)) {
      throw new IllegalArgumentException("loadShare must be in (0, 1]: " + loadShare);
    }
  }

  /**
   * Creates the usual settings.
   *
   * @param loadWindow the window in which loads of weights are counted, not null
   * @param zones the number of zones that share the loads, at least 1
   * @return the settings, never null
   */
  public static FormationSettings of(Duration loadWindow, int zones) {
    return new FormationSettings(
        Duration.ofMillis(900),
        Duration.ofMillis(150),
        Duration.ofMillis(2000),
        Duration.ofMillis(900),
        Duration.ofMillis(200),
        Duration.ofMillis(3000),
        Duration.ofSeconds(60),
        loadWindow,
        1.0 / zones);
  }
}
