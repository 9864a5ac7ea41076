package io.fireflyshed.transport.configuration;

import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.protocol.configuration.SiteConfigurationReader;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.configuration.SiteConfiguration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Holds the configuration of one site that is in force, and notifies listeners when it changes.
 * Thread safe.
 */
public final class SiteConfigurationHolder
    implements BiConsumer<ConfigurationRecord, String>, Supplier<Optional<SiteConfiguration>> {

  private final String site;
  private final List<Consumer<SiteConfiguration>> listeners = new CopyOnWriteArrayList<>();
  private volatile Optional<SiteConfiguration> inForce = Optional.empty();

  /**
   * Creates a holder without a configuration.
   *
   * @param site the name of the site, not null
   */
  public SiteConfigurationHolder(String site) {
    this.site = Objects.requireNonNull(site, "site");
  }

  /**
   * Adds a listener, which is called with each new configuration on the thread that puts it in
   * force.
   *
   * @param listener the listener, not null
   */
  public void addListener(Consumer<SiteConfiguration> listener) {
    listeners.add(Objects.requireNonNull(listener, "listener"));
  }

  /**
   * Puts a version in force.
   *
   * @param record the version, not null
   * @param text the text of the version, not null
   * @throws IllegalArgumentException if the text is not valid; the previous configuration stays in
   *     use
   */
  @Override
  public void accept(ConfigurationRecord record, String text) {
    ConfigurationDocument document = ConfigurationDocument.fromText(text);
    SiteConfiguration configuration = SiteConfigurationReader.read(document.resolve(site));
    inForce = Optional.of(configuration);
    listeners.forEach(l -> l.accept(configuration));
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration, or empty if none is in force, never null
   */
  @Override
  public Optional<SiteConfiguration> get() {
    return inForce;
  }
}
