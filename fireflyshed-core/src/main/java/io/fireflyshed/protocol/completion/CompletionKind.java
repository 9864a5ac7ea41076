package io.fireflyshed.protocol.completion;

/** The kinds of completion requests. */
public enum CompletionKind {
  /** A chat completion, whose prompt is a list of messages. */
  CHAT("/v1/chat/completions"),
  /** A text completion, whose prompt is a single text. */
  TEXT("/v1/completions");

  private final String path;

  CompletionKind(String path) {
    this.path = path;
  }

  /**
   * Returns the request path, which is the same for callers and engines.
   *
   * @return the path, never null
   */
  public String getPath() {
    return path;
  }
}
