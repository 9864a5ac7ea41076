package io.fireflyshed.protocol.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Converts JSON texts to trees and back. Thread safe. */
public final class JsonUtils {

  private static final int MAX_NESTING_DEPTH = 64;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
                  .build())
          .build();

  private JsonUtils() {}

  /**
   * Returns the shared mapper, whose configuration must not be changed.
   *
   * @return the mapper, never null
   */
  public static ObjectMapper getMapper() {
    return MAPPER;
  }

  /**
   * Parses a JSON text.
   *
   * @param bytes the JSON text in UTF-8, not null
   * @return the tree, never null
   * @throws IllegalArgumentException if the text is not one JSON value
   */
  public static JsonNode parse(byte[] bytes) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      if (node == null || node.isMissingNode()) {
        throw new IllegalArgumentException("empty JSON text");
      }
      return node;
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("invalid JSON text: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException("invalid JSON text", e);
    }
  }

  /**
   * Parses a JSON text.
   *
   * @param text the JSON text, not null
   * @return the tree, never null
   * @throws IllegalArgumentException if the text is not one JSON value
   */
  public static JsonNode parse(String text) {
    return parse(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Converts a value to a JSON text.
   *
   * @param value the value, not null
   * @return the JSON text, never null
   * @throws IllegalArgumentException if the value cannot be converted
   */
  public static String toText(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value cannot be converted to JSON", e);
    }
  }
}
