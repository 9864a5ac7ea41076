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
 * Holds a base and the overlay of each site, which share one version. Immutable if the trees are
 * not changed.
 *
 * @param base the base that all sites share, not null
 * @param overlays the overlay of each site by its name, copied, not null
 */
public record ConfigurationDocument(JsonNode base, SortedMap<String, JsonNode> overlays) {

  private static final String BASE = "base";
  private static final String SITES = "sites";

  /** Copies the map. */
  public ConfigurationDocument {
    Objects.requireNonNull(base, "base");
    overlays = new TreeMap<>(overlays);
  }

  /**
   * Creates the document that holds nothing.
   *
   * @return the document, never null
   */
  public static ConfigurationDocument ofNothing() {
    return new ConfigurationDocument(JsonNodeFactory.instance.objectNode(), new TreeMap<>());
  }

  /**
   * Reads a document from its text.
   *
   * @param text the text, not null
   * @return the document, never null
   * @throws IllegalArgumentException if the text is no document
   */
  public static ConfigurationDocument fromText(String text) {
    JsonNode node = JsonUtils.parse(text);
    if (!node.path(BASE).isObject() || !node.path(SITES).isObject()) {
      throw new IllegalArgumentException("a configuration must have a base and sites");
    }
    SortedMap<String, JsonNode> overlays = new TreeMap<>();
    node.path(SITES).properties().forEach(e -> overlays.put(e.getKey(), e.getValue()));
    return new ConfigurationDocument(node.path(BASE), overlays);
  }

  /**
   * Writes the document; equal documents have equal texts.
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
   * Gets the names of the sites.
   *
   * @return the names, never null
   */
  public Set<String> getSites() {
    return new TreeSet<>(overlays.keySet());
  }

  /**
   * Merges the overlay of a site into the base.
   *
   * @param site the name of the site, not null; one without an overlay gets the base
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
    node.properties().forEach(e -> sorted.put(e.getKey(), toSorted(e.getValue())));
    ObjectNode result = JsonNodeFactory.instance.objectNode();
    sorted.forEach(result::set);
    return result;
  }
}
