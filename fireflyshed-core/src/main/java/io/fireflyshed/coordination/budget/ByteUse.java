package io.fireflyshed.coordination.budget;

/** Lists what a process holds bytes for. */
public enum ByteUse {
  /** The heads of requests, also of those that are not complete. */
  HEAD(false),
  /** The bodies of requests. */
  REQUEST(false),
  /** Responses of targets that are not complete yet. */
  RESPONSE(false),
  /** What callers have not read yet. */
  UNREAD(false),
  /** Requests of other entries, and their responses to relayed requests. */
  RELAY(false),
  /** Answers to calls of the process itself, without which it serves nothing. */
  CONTROL(true);

  private final boolean isUnlimited;

  ByteUse(boolean isUnlimited) {
    this.isUnlimited = isUnlimited;
  }

  /** Returns whether only the size of the budget limits this use. */
  boolean isUnlimited() {
    return isUnlimited;
  }
}
