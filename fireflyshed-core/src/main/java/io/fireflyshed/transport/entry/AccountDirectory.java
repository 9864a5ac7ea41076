package io.fireflyshed.transport.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** Finds the client account of a request. Implementations are thread safe. */
public interface AccountDirectory {

  /** The scheme of the authorization header. */
  String SCHEME = "Bearer ";

  /**
   * Finds the account of a key.
   *
   * @param key the key that the caller gave, not null
   * @return the name of the account, or empty if the key is not known
   */
  Optional<String> findAccount(String key);

  /**
   * Finds the account of a request by its authorization header.
   *
   * @param headers the headers of the request, not null
   * @return the name of the account, or empty if there is no known key
   */
  default Optional<String> findAccount(HttpHeaders headers) {
    String header = headers.get(HttpHeaderNames.AUTHORIZATION);
    if (header == null || !header.startsWith(SCHEME)) {
      return Optional.empty();
    }
    return findAccount(header.substring(SCHEME.length()));
  }
}
