package io.fireflyshed.protocol.configuration;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * A parsed configuration file with the line number of each of its values. Immutable.
 *
 * @param file the name of the file, not null
 * @param tree the tree of the values, not null
 * @param lines the line number of each value by its JSON pointer, copied, not null
 */
public record ConfigurationSource(String file, JsonNode tree, Map<String, Integer> lines) {

  private static final ObjectMapper MAPPER =
      YAMLMapper.builder(
              YAMLFactory.builder()
                  .enable(com.fasterxml.jackson.core.StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                  .build())
          .build();

  /** Validates the components. */
  public ConfigurationSource {
    Objects.requireNonNull(file, "file");
    Objects.requireNonNull(tree, "tree");
    lines = Map.copyOf(lines);
  }

  /**
   * Parses a YAML text.
   *
   * @param file the name of the file, for messages, not null
   * @param text the text, not null
   * @return the source, never null
   * @throws ConfigurationException if the text is not a single YAML mapping without duplicate keys
   */
  public static ConfigurationSource parse(String file, String text) {
    try {
      JsonNode tree = MAPPER.readTree(text);
      if (!tree.isObject()) {
        throw newException(file, 1, "must be a mapping");
      }
      return new ConfigurationSource(file, tree, findLines(text));
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
      throw newException(file, line, e.getOriginalMessage().lines().findFirst().orElse(""));
    } catch (IOException e) {
      throw newException(file, 1, "can't be read");
    }
  }

  /**
   * Returns the line number of a value.
   *
   * @param path the JSON pointer, not null
   * @return the line number, or empty if the file does not contain the value
   */
  public OptionalInt findLine(String path) {
    Integer line = lines.get(path);
    return line == null ? OptionalInt.empty() : OptionalInt.of(line);
  }

  private static Map<String, Integer> findLines(String text) throws IOException {
    Map<String, Integer> lines = new HashMap<>();
    try (JsonParser parser = MAPPER.createParser(text)) {
      for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
        JsonPointer pointer = parser.getParsingContext().pathAsPointer();
        lines.putIfAbsent(pointer.toString(), parser.currentTokenLocation().getLineNr());
      }
    }
    return lines;
  }

  private static ConfigurationException newException(String file, int line, String message) {
    return new ConfigurationException(List.of(new ConfigurationProblem(file, line, "", message)));
  }
}
