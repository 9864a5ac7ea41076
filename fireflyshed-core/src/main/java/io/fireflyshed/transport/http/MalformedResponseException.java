package io.fireflyshed.transport.http;

/** Signals bytes of a peer that are no response to the request that waits for one. */
public final class MalformedResponseException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  MalformedResponseException(String message) {
    super(message);
  }
}
