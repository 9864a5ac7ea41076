package io.fireflyshed.transport.http;

import java.io.IOException;

/** Signals a response whose truncation could not be noticed. */
public final class UndelimitedResponseException extends IOException {

  private static final long serialVersionUID = 1L;

  UndelimitedResponseException() {
    super("the response has neither a content length nor a transfer encoding");
  }
}
