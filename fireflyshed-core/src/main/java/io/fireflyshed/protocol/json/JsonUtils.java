package io.fireflyshed.protocol.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Maps JSON texts to trees and back. Thread safe. */
public final class JsonUtils {

  private static final int MAX_DEPTH = 64;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                  .build())
          .build();

  private JsonUtils() {}

  /**
   * Gets the shared mapper, which must not be configured further.
   *
   * @return the mapper, never null
   */
  public static ObjectMapper getMapper() {
    return MAPPER;
  }

  /**
   * Parses a text.
   *
   * @param bytes the text in UTF-8, not null
   * @return the tree, never null
   * @throws IllegalArgumentException if the text is not one JSON value
   */
  public static JsonNode parse(byte[] bytes) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      if (node == null || node.isMissingNode()) {
        throw new IllegalArgumentException("the JSON text is empty");
      }
      return node;
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not a JSON text: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException("not a JSON text", e);
    }
  }

  /**
   * Parses a text.
   *
   * @param text the text, not null
   * @return the tree, never null
   * @throws IllegalArgumentException if the text is not one JSON value
   */
  public static JsonNode parse(String text) {
    return parse(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Writes a value as a text.
   *
   * @param value the value, not null
   * @return the text, never null
   */
  public static String toText(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("can't be written as JSON", e);
    }
  }
}
