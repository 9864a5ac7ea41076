package io.fireflyshed.coordination.formation;

import java.time.Duration;
import java.util.Objects;

/**
 * Intervals and limits of replica formation.
 *
 * @param servingReportInterval the interval between report requests to a member of a serving
 *     replica, not null
 * @param formingReportInterval the interval between report requests to a member of a replica that
 *     forms, closes or opens, not null
 * @param idleReportInterval the interval between report requests to an engine that is lost, a warm
 *     spare or in no replica, not null
 * @param quietPeriod the time without a new engine after which the list of engines counts as
 *     complete, not null
 * @param rejoinTime the time in which an engine joins a replica of the model that it ran last, not
 *     null
 * @param quickFormTime the longest formation time that counts as quick, not null
 * @param formTimeout the time after which a replica that is still forming is dissolved, and a spare
 *     that still loads is no longer waited for, not null
 * @param loadWindow the window in which loads of model weights are counted, not null
 * @param loadShare the fraction of the deployment's loads that this zone may begin, above 0 and at
 *     most 1
 */
public record FormationSettings(
    Duration servingReportInterval,
    Duration formingReportInterval,
    Duration idleReportInterval,
    Duration quietPeriod,
    Duration rejoinTime,
    Duration quickFormTime,
    Duration formTimeout,
    Duration loadWindow,
    double loadShare) {

  /** Validates the components. */
  public FormationSettings {
    Objects.requireNonNull(servingReportInterval, "servingReportInterval");
    Objects.requireNonNull(formingReportInterval, "formingReportInterval");
    Objects.requireNonNull(idleReportInterval, "idleReportInterval");
    Objects.requireNonNull(quietPeriod, "quietPeriod");
    Objects.requireNonNull(rejoinTime, "rejoinTime");
    Objects.requireNonNull(quickFormTime, "quickFormTime");
    Objects.requireNonNull(formTimeout, "formTimeout");
    Objects.requireNonNull(loadWindow, "loadWindow");
    if (!(loadShare > 0 && loadShare <= 1)) {
      throw new IllegalArgumentException("loadShare must be in (0, 1]: " + loadShare);
    }
  }

  /**
   * Creates the default settings, with the loads divided evenly between the zones.
   *
   * @param loadWindow the window in which loads of model weights are counted, not null
   * @param zones the number of zones that share the loads, at least 1
   * @return the settings, never null
   */
  public static FormationSettings of(Duration loadWindow, int zones) {
    return new FormationSettings(
        Duration.ofMillis(1300),
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
