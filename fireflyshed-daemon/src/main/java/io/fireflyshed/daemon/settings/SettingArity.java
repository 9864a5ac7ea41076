package io.fireflyshed.daemon.settings;

/** The number of values that a setting takes. */
public enum SettingArity {
  /** None: the flag alone switches the setting on. */
  FLAG,
  /** One value. */
  ONE,
  /** Several values, given by repeating the flag or separated by commas in the variable. */
  MANY
}
