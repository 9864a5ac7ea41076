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
 * A value that differs between two configurations of a site.
 *
 * @param path the JSON pointer of the value, not null
 * @param before the old value, or empty if there was none, not null
 * @param after the new value, or empty if there is none, not null
 */
public record ConfigurationChange(String path, Optional<String> before, Optional<String> after) {

  /** Validates the components. */
  public ConfigurationChange {
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(before, "before");
    Objects.requireNonNull(after, "after");
  }

  /**
   * Finds the differences between two trees.
   *
   * @param before the old tree, not null
   * @param after the new tree, not null
   * @return the differences in the order of their paths, never null
   */
  public static List<ConfigurationChange> findAll(JsonNode before, JsonNode after) {
    Map<String, String> oldValues = new TreeMap<>();
    Map<String, String> newValues = new TreeMap<>();
    flatten("", before, oldValues);
    flatten("", after, newValues);
    TreeSet<String> paths = new TreeSet<>(oldValues.keySet());
    paths.addAll(newValues.keySet());
    List<ConfigurationChange> changes = new ArrayList<>();
    for (String path : paths) {
      if (!Objects.equals(oldValues.get(path), newValues.get(path))) {
        changes.add(
            new ConfigurationChange(
                path,
                Optional.ofNullable(oldValues.get(path)),
                Optional.ofNullable(newValues.get(path))));
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
          .forEach(entry -> flatten(path + "/" + escape(entry.getKey()), entry.getValue(), values));
    } else if (!path.isEmpty()) {
      values.put(path, node.toString());
    }
  }

  private static String escape(String key) {
    return key.replace("~", "~0").replace("/", "~1");
  }
}
