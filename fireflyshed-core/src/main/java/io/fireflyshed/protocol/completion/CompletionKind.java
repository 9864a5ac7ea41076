package io.fireflyshed.protocol.completion;

/** Distinguishes the two forms of a completion request. */
public enum CompletionKind {
  /** A list of messages. */
  CHAT("/v1/chat/completions"),
  /** A single prompt. */
  TEXT("/v1/completions");

  private final String path;

  CompletionKind(String path) {
    this.path = path;
  }

  /**
   * Gets the path of the form, for callers and for engines.
   *
   * @return the path, never null
   */
  public String getPath() {
    return path;
  }
}
