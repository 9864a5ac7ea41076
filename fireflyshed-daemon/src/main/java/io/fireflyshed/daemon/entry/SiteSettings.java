package io.fireflyshed.daemon.entry;

import io.fireflyshed.transport.operator.OperatorToken;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The site of an entry process and the settings of its peers and its operator API.
 *
 * @param site the name of the site, which selects the overlay of the configuration, not null
 * @param peerListen the address on which to listen for peers, or empty for a process without peers,
 *     not null
 * @param peerSeeds the addresses of peers to connect to while no live peer is known, so that a
 *     process can start without the platform, copied, not null
 * @param operatorListen the address on which to serve the operator API, or empty to serve none, not
 *     null
 * @param operatorTokens the tokens of operators, copied, not null
 */
public record SiteSettings(
    String site,
    Optional<InetSocketAddress> peerListen,
    List<InetSocketAddress> peerSeeds,
    Optional<InetSocketAddress> operatorListen,
    List<OperatorToken> operatorTokens) {

  /** Validates the components and copies the lists. */
  public SiteSettings {
    Objects.requireNonNull(site, "site");
    Objects.requireNonNull(peerListen, "peerListen");
    peerSeeds = List.copyOf(peerSeeds);
    Objects.requireNonNull(operatorListen, "operatorListen");
    operatorTokens = List.copyOf(operatorTokens);
  }

  /**
   * Returns the settings of a process without peers and without an operator API.
   *
   * @param site the name of the site, not null
   * @return the settings, never null
   */
  public static SiteSettings ofStandalone(String site) {
    return new SiteSettings(site, Optional.empty(), List.of(), Optional.empty(), List.of());
  }
}
