package io.fireflyshed.daemon.settings;

/** Tells how many values a setting takes. */
public enum SettingArity {
  /** No value: the flag alone switches it on. */
  FLAG,
  /** One value. */
  ONE,
  /** Several values: the flag is repeated, the variable separates them by commas. */
  MANY
}
