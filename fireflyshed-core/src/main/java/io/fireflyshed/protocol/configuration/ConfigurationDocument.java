package io.fireflyshed.protocol.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A base configuration and the overlays of all sites, which are versioned together. Immutable as
 * long as the trees are not modified.
 *
 * @param base the base configuration that all sites share, not null
 * @param overlays the overlay of each site by its name, copied, not null
 */
public record ConfigurationDocument(JsonNode base, SortedMap<String, JsonNode> overlays) {

  private static final String BASE = "base";
  private static final String SITES = "sites";

  /** Validates the components and copies the overlays. */
  public ConfigurationDocument {
    Objects.requireNonNull(base, "base");
    overlays = new TreeMap<>(overlays);
  }

  /**
   * Creates an empty document.
   *
   * @return the document, never null
   */
  public static ConfigurationDocument ofNothing() {
    return new ConfigurationDocument(JsonNodeFactory.instance.objectNode(), new TreeMap<>());
  }

  /**
   * Parses the text of a document.
   *
   * @param text the text, not null
   * @return the document, never null
   * @throws IllegalArgumentException if the text is not a configuration document
   */
  public static ConfigurationDocument fromText(String text) {
    JsonNode node = JsonUtils.parse(text);
    if (!node.path(BASE).isObject() || !node.path(SITES).isObject()) {
      throw new IllegalArgumentException(
          "a configuration document must have a base object and a sites object");
    }
    SortedMap<String, JsonNode> overlays = new TreeMap<>();
    node.path(SITES).properties().forEach(entry -> overlays.put(entry.getKey(), entry.getValue()));
    return new ConfigurationDocument(node.path(BASE), overlays);
  }

  /**
   * Returns the text of the document. Equal documents have equal texts.
   *
   * @return the text, never null
   */
  public String toText() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.set(BASE, toSorted(base));
    ObjectNode sites = node.putObject(SITES);
    overlays.forEach((site, overlay) -> sites.set(site, toSorted(overlay)));
    return JsonUtils.toText(node);
  }

  /**
   * Returns the names of the sites that have an overlay.
   *
   * @return the names, never null
   */
  public Set<String> getSites() {
    return new TreeSet<>(overlays.keySet());
  }

  /**
   * Returns the base with the overlay of a site merged into it.
   *
   * @param site the name of the site, not null; a site without an overlay has the unchanged base
   * @return the merged tree, never null
   */
  public JsonNode resolve(String site) {
    JsonNode overlay = overlays.getOrDefault(site, JsonNodeFactory.instance.objectNode());
    return MergePatchUtils.apply(base, overlay);
  }

  private static JsonNode toSorted(JsonNode node) {
    if (!node.isObject()) {
      return node;
    }
    Map<String, JsonNode> sorted = new TreeMap<>();
    node.properties().forEach(entry -> sorted.put(entry.getKey(), toSorted(entry.getValue())));
    ObjectNode result = JsonNodeFactory.instance.objectNode();
    sorted.forEach(result::set);
    return result;
  }
}
