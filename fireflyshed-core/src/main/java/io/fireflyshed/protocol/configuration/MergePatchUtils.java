package io.fireflyshed.protocol.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * Applies and computes merge patches.
 *
 * <p>The rules are those of JSON Merge Patch, RFC 7396: objects merge key by key, null removes a
 * key, and anything else replaces what was there.
 */
public final class MergePatchUtils {

  private MergePatchUtils() {}

  /**
   * Applies a patch.
   *
   * @param target the tree to patch, left unchanged, not null
   * @param patch the patch, left unchanged, not null
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
   * Computes the patch that turns one tree without nulls into another.
   *
   * @param from the first tree, not null
   * @param to the second tree, not null
   * @return the patch, never null
   */
  public static JsonNode diff(JsonNode from, JsonNode to) {
    if (!from.isObject() || !to.isObject()) {
      return to.deepCopy();
    }
    ObjectNode patch = JsonNodeFactory.instance.objectNode();
    for (Map.Entry<String, JsonNode> entry : to.properties()) {
      String key = entry.getKey();
      JsonNode old = from.path(key);
      if (!entry.getValue().equals(old)) {
        patch.set(key, diff(old, entry.getValue()));
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
