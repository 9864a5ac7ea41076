package io.fireflyshed.daemon.entry;

import io.fireflyshed.transport.operator.OperatorToken;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Holds the settings by which an entry process takes part in its site.
 *
 * @param site the name of the site, which selects the overlay of the configuration, not null
 * @param peerListen the address for peers, or empty for a process without peers, not null
 * @param peerSeeds the addresses of some peers, for a start without the platform, copied, not null
 * @param operatorListen the address for operators, or empty for none, not null
 * @param operatorTokens the tokens of operators, copied, not null
 */
public record SiteSettings(
    String site,
    Optional<InetSocketAddress> peerListen,
    List<InetSocketAddress> peerSeeds,
    Optional<InetSocketAddress> operatorListen,
    List<OperatorToken> operatorTokens) {

  /** Checks the parts and copies the list. */
  public SiteSettings {
    Objects.requireNonNull(site, "site");
    Objects.requireNonNull(peerListen, "peerListen");
    peerSeeds = List.copyOf(peerSeeds);
    Objects.requireNonNull(operatorListen, "operatorListen");
    operatorTokens = List.copyOf(operatorTokens);
  }

  /**
   * Creates the settings of a process without peers and without an address for operators.
   *
   * @param site the name of the site, not null
   * @return the settings, never null
   */
  public static SiteSettings ofLone(String site) {
    return new SiteSettings(site, Optional.empty(), List.of(), Optional.empty(), List.of());
  }
}
