package io.fireflyshed.daemon.settings;

/** Signals a setting that can't be used; the message names the setting and what is allowed. */
public class SettingException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message one line for the operator, not null
   */
  public SettingException(String message) {
    super(message);
  }
}
