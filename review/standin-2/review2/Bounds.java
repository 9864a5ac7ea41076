package review2;

import java.util.Map;

/** The bounds of the settings, as a small deployment has them. */
final class Bounds {

  static final long DRAIN_MS = 2000;
  static final long REVOKE_MS = 5000;
  static final long CONFIG_APPLY_MS = 2000;
  static final long STABLE_MS = 3000;
  static final long GRACE_S = 8;

  private Bounds() {}

  static Map<String, Object> settings() {
    return Json.of(
        "seed_lag_s", 3L,
        "reuse_after_s", 2L,
        "stable_ms", STABLE_MS,
        "ack_ms", 4000L,
        "catch_up_s", 4L,
        "drain_ms", DRAIN_MS,
        "grace_s", GRACE_S,
        "loss_slack_ms", 200L,
        "config_apply_ms", CONFIG_APPLY_MS,
        "rollback_slack_ms", 250L,
        "max_skew_ms", 5000L,
        "strict_revocation", true,
        "revoke_ms", REVOKE_MS,
        "retry_budget_ratio", 0.2,
        "budget_window_s", 10L,
        "budget_slack", 136L,
        "recovery_s", 12L,
        "pass_ms", 120L,
        "retry_after_s", 0L,
        "stall_ms", 5000L,
        "fencing_required", true,
        "ceiling_window_s", 5L,
        "ceiling_overshoot", 1.1);
  }
}
