package io.fireflyshed.daemon.settings;

/** Signals an invalid setting; the message names the setting and the allowed values. */
public class SettingException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message a message of one line, shown to the operator, not null
   */
  public SettingException(String message) {
    super(message);
  }
}
