package io.fireflyshed.transport.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** Finds client accounts by their API keys. Implementations are thread safe. */
public interface AccountDirectory {

  /** The text before the key in the authorization header. */
  String BEARER_PREFIX = "Bearer ";

  /**
   * Finds the account that a key belongs to.
   *
   * @param key the API key of the caller, not null
   * @return the name of the account, or empty if the key is unknown
   */
  Optional<String> findAccount(String key);

  /**
   * Finds the account of a request by the bearer token in its authorization header.
   *
   * @param headers the headers of the request, not null
   * @return the name of the account, or empty if the header holds no bearer token or an unknown key
   */
  default Optional<String> findAccount(HttpHeaders headers) {
    String header = headers.get(HttpHeaderNames.AUTHORIZATION);
    if (header == null || !header.startsWith(BEARER_PREFIX)) {
      return Optional.empty();
    }
    return findAccount(header.substring(BEARER_PREFIX.length()));
  }
}
