package io.fireflyshed.protocol.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * Applies and creates JSON merge patches.
 *
 * <p>The rules are those of RFC 7396 (JSON Merge Patch): objects are merged key by key, null
 * removes a key, and any other value replaces the existing value.
 */
public final class MergePatchUtils {

  private MergePatchUtils() {}

  /**
   * Applies a patch.
   *
   * @param target the tree to patch, not modified, not null
   * @param patch the patch, not modified, not null
   * @return the patched tree, never null
   */
  public static JsonNode apply(JsonNode target, JsonNode patch) {
    if (!patch.isObject()) {
      return patch.deepCopy();
    }
    ObjectNode result =
        target.isObject() ? target.deepCopy() : JsonNodeFactory.instance.objectNode();
    for (Map.Entry<String, JsonNode> entry : patch.properties()) {
      String key = entry.getKey();
      if (entry.getValue().isNull()) {
        result.remove(key);
      } else {
        result.set(key, apply(result.path(key), entry.getValue()));
      }
    }
    return result;
  }

  /**
   * Creates the patch that transforms one tree into another, neither of which may contain nulls.
   *
   * @param from the tree to which the patch will be applied, not null
   * @param to the tree that results from the patch, not null
   * @return the patch, never null
   */
  public static JsonNode diff(JsonNode from, JsonNode to) {
    if (!from.isObject() || !to.isObject()) {
      return to.deepCopy();
    }
    ObjectNode patch = JsonNodeFactory.instance.objectNode();
    for (Map.Entry<String, JsonNode> entry : to.properties()) {
      String key = entry.getKey();
      JsonNode oldValue = from.path(key);
      if (!entry.getValue().equals(oldValue)) {
        patch.set(key, diff(oldValue, entry.getValue()));
      }
    }
    from.fieldNames()
        .forEachRemaining(
            key -> {
              if (!to.has(key)) {
                patch.putNull(key);
              }
            });
    return patch;
  }
}
