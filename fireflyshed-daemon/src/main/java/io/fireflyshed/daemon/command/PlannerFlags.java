package io.fireflyshed.daemon.command;

import io.fireflyshed.coordination.repair.RepairSettings;
import io.fireflyshed.coordination.repair.RolloutSettings;
import io.fireflyshed.daemon.entry.PlannerKind;
import io.fireflyshed.daemon.entry.PlannerSettings;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingParsers;
import io.fireflyshed.daemon.settings.SettingValues;
import java.time.Duration;

/** The settings of the planner that a zone coordinator uses. */
final class PlannerFlags {

  static final Setting<PlannerKind> PLANNER =
      Setting.of(
          "planner",
          "repair or form",
          "repair",
          "planner that assigns instances to replicas",
          SettingParsers.newEnumParser(PlannerKind.class));

  static final Setting<Duration> LOAD_TIME =
      Setting.ofDuration(
          "load-time", "2m", "time in which a member loads its weights at full rate");

  static final Setting<Integer> LOAD_SLOTS =
      Setting.ofInteger(
          "load-slots",
          1,
          10_000,
          8,
          "number of members of a zone that the weight store can serve at full rate at once");

  static final Setting<Integer> FLOOR_PERCENT =
      Setting.ofInteger(
          "floor-percent",
          0,
          100,
          75,
          "percentage of a service's replicas to keep complete while its version or size changes");

  static final Setting<Integer> MAX_CHANGING =
      Setting.ofInteger(
          "max-changing",
          1,
          10_000,
          1,
          "maximum number of replicas of a service to change at once");

  private static final double PERCENT = 100;

  private PlannerFlags() {}

  static PlannerSettings toSettings(SettingValues values) {
    RepairSettings base = PlannerSettings.ofDefaults().repair();
    RepairSettings repair =
        new RepairSettings(
            base.weights(),
            values.get(LOAD_TIME),
            values.get(LOAD_SLOTS),
            base.releaseTime(),
            base.isWeightKept(),
            base.unstableLosses(),
            base.stableTime());
    double floorShare = values.get(FLOOR_PERCENT) / PERCENT;
    return new PlannerSettings(
        values.get(PLANNER), repair, new RolloutSettings(floorShare, values.get(MAX_CHANGING)));
  }
}
