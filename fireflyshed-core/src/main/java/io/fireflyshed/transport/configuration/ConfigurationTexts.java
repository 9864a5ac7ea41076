package io.fireflyshed.transport.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.protocol.configuration.MergePatchUtils;
import io.fireflyshed.protocol.json.JsonUtils;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Caches the texts that were in force most recently, and computes merge patches between them.
 * Thread safe.
 *
 * <p>A patch is much shorter than a text, which makes frequent small changes cheap for the
 * processes that pass them on to their peers.
 */
public final class ConfigurationTexts {

  private static final int MAX_CACHE_SIZE = 8;

  private record TextPair(String heldDigest, String wantedDigest) {}

  private final Map<String, String> texts = newBoundedMap();
  private final Map<TextPair, Optional<String>> patches = newBoundedMap();

  /**
   * Adds a text, and evicts the oldest one if the cache is full.
   *
   * @param text the text, not null
   */
  public synchronized void add(String text) {
    texts.put(ConfigurationStore.toDigest(text), text);
  }

  /**
   * Finds a text.
   *
   * @param digest the digest of the text, not null
   * @return the text, or empty if it is not cached
   */
  public synchronized Optional<String> find(String digest) {
    return Optional.ofNullable(texts.get(digest));
  }

  /**
   * Finds the patch that turns one text into another.
   *
   * @param heldDigest the digest of the text to patch, not null
   * @param wantedDigest the digest of the patched text, not null
   * @return the patch, or empty if a text is not cached or no patch produces exactly the wanted
   *     text
   */
  public synchronized Optional<String> findPatch(String heldDigest, String wantedDigest) {
    if (!texts.containsKey(heldDigest) || !texts.containsKey(wantedDigest)) {
      return Optional.empty();
    }
    return patches.computeIfAbsent(new TextPair(heldDigest, wantedDigest), this::computePatch);
  }

  /**
   * Applies a patch.
   *
   * @param text the text to patch, not null
   * @param patch the patch, not null
   * @return the patched text, never null
   * @throws IllegalArgumentException if the patched text is not a configuration
   */
  public static String applyPatch(String text, String patch) {
    JsonNode patched = MergePatchUtils.apply(JsonUtils.parse(text), JsonUtils.parse(patch));
    return ConfigurationDocument.fromText(JsonUtils.toText(patched)).toText();
  }

  private Optional<String> computePatch(TextPair pair) {
    String held = texts.get(pair.heldDigest());
    JsonNode wanted = JsonUtils.parse(texts.get(pair.wantedDigest()));
    String patch = JsonUtils.toText(MergePatchUtils.diff(JsonUtils.parse(held), wanted));
    String patched = applyPatch(held, patch);
    boolean isExact = ConfigurationStore.toDigest(patched).equals(pair.wantedDigest());
    return isExact ? Optional.of(patch) : Optional.empty();
  }

  private static <K, V> Map<K, V> newBoundedMap() {
    return new LinkedHashMap<>() {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > MAX_CACHE_SIZE;
      }
    };
  }
}
