package io.fireflyshed.transport.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.protocol.configuration.MergePatchUtils;
import io.fireflyshed.protocol.json.JsonUtils;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the last texts that were in force and makes patches between them. Thread safe.
 *
 * <p>A patch is much shorter than a text, so that frequent small changes stay cheap for the
 * processes that hand them on.
 */
public final class ConfigurationTexts {

  private static final int MAX_TEXTS = 8;

  private record Pair(String held, String wanted) {}

  private final Map<String, String> texts = newBounded();
  private final Map<Pair, Optional<String>> patches = newBounded();

  /**
   * Keeps a text.
   *
   * @param text the text, not null
   */
  public synchronized void add(String text) {
    texts.put(ConfigurationStore.toDigest(text), text);
  }

  /**
   * Finds a text.
   *
   * @param digest its digest, not null
   * @return the text, or empty if it is not kept
   */
  public synchronized Optional<String> find(String digest) {
    return Optional.ofNullable(texts.get(digest));
  }

  /**
   * Makes a patch that turns one text into another.
   *
   * @param held the digest of the first text, not null
   * @param wanted the digest of the second text, not null
   * @return the patch, or empty if a text is not kept or no patch leads from one to the other
   */
  public synchronized Optional<String> findPatch(String held, String wanted) {
    if (!texts.containsKey(held) || !texts.containsKey(wanted)) {
      return Optional.empty();
    }
    return patches.computeIfAbsent(new Pair(held, wanted), this::newPatch);
  }

  /**
   * Applies a patch.
   *
   * @param text the text to patch, not null
   * @param patch the patch, not null
   * @return the patched text, never null
   * @throws IllegalArgumentException if the patch does not lead to a configuration
   */
  public static String applyPatch(String text, String patch) {
    JsonNode patched = MergePatchUtils.apply(JsonUtils.parse(text), JsonUtils.parse(patch));
    return ConfigurationDocument.fromText(JsonUtils.toText(patched)).toText();
  }

  private Optional<String> newPatch(Pair pair) {
    String held = texts.get(pair.held());
    JsonNode wanted = JsonUtils.parse(texts.get(pair.wanted()));
    String patch = JsonUtils.toText(MergePatchUtils.diff(JsonUtils.parse(held), wanted));
    String patched = applyPatch(held, patch);
    boolean isRight = ConfigurationStore.toDigest(patched).equals(pair.wanted());
    return isRight ? Optional.of(patch) : Optional.empty();
  }

  private static <K, V> Map<K, V> newBounded() {
    return new LinkedHashMap<>() {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > MAX_TEXTS;
      }
    };
  }
}
