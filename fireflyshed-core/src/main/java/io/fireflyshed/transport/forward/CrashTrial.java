package io.fireflyshed.transport.forward;

/**
 * The permission to send a single request to a target although it is refused, since the refusal may
 * be wrong. Not thread safe.
 */
public final class CrashTrial {

  private static final CrashTrial NONE = new CrashTrial(() -> {}, () -> {});

  private final Runnable onSent;
  private final Runnable onUnused;
  private boolean isUsable;

  /**
   * Creates a permission.
   *
   * @param onSent is called when the request is sent, not null
   * @param onUnused is called if the request can't be sent, so that another one may be, not null
   */
  public CrashTrial(Runnable onSent, Runnable onUnused) {
    this.onSent = onSent;
    this.onUnused = onUnused;
    this.isUsable = true;
  }

  /**
   * Returns what a request gets that isn't refused, or whose refusal holds.
   *
   * @return a permission for nothing, never null
   */
  public static CrashTrial none() {
    return NONE;
  }

  /**
   * Tests whether the request may be sent.
   *
   * @return true until it was sent or turned out not to be
   */
  public boolean isUsable() {
    return this != NONE && isUsable;
  }

  /** Records that the request is sent, after which its attempts are refused again. */
  public void use() {
    isUsable = false;
    onSent.run();
  }

  /** Records that the request was refused for another reason. */
  public void giveBack() {
    isUsable = false;
    onUnused.run();
  }
}
