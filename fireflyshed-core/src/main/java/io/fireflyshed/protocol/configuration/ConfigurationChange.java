package io.fireflyshed.protocol.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Describes one value that differs between two configurations of a site.
 *
 * @param path the JSON pointer of the value, not null
 * @param before the value before, or empty if there was none, not null
 * @param after the value after, or empty if there is none, not null
 */
public record ConfigurationChange(String path, Optional<String> before, Optional<String> after) {

  /** Checks the parts of the record. */
  public ConfigurationChange {
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(before, "before");
    Objects.requireNonNull(after, "after");
  }

  /**
   * Finds the differences between two trees.
   *
   * @param before the first tree, not null
   * @param after the second tree, not null
   * @return the differences in the order of their paths, never null
   */
  public static List<ConfigurationChange> findAll(JsonNode before, JsonNode after) {
    Map<String, String> old = new TreeMap<>();
    Map<String, String> now = new TreeMap<>();
    flatten("", before, old);
    flatten("", after, now);
    TreeSet<String> paths = new TreeSet<>(old.keySet());
    paths.addAll(now.keySet());
    List<ConfigurationChange> changes = new ArrayList<>();
    for (String path : paths) {
      if (!Objects.equals(old.get(path), now.get(path))) {
        changes.add(
            new ConfigurationChange(
                path, Optional.ofNullable(old.get(path)), Optional.ofNullable(now.get(path))));
      }
    }
    return changes;
  }

  @Override
  public String toString() {
    return path + ": " + before.orElse("none") + " -> " + after.orElse("none");
  }

  private static void flatten(String path, JsonNode node, Map<String, String> values) {
    if (node.isObject() && !node.isEmpty()) {
      node.properties()
          .forEach(e -> flatten(path + "/" + escape(e.getKey()), e.getValue(), values));
    } else if (!path.isEmpty()) {
      values.put(path, node.toString());
    }
  }

  private static String escape(String key) {
    return key.replace("~", "~0").replace("/", "~1");
  }
}
