package io.fireflyshed.protocol.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.configuration.ConfigurationRecord;

/** Converts a {@link ConfigurationRecord} to the text of a table row and back. Thread safe. */
public final class ConfigurationRecordCodec {

  private ConfigurationRecordCodec() {}

  /**
   * Converts a record to JSON.
   *
   * @param record the record, not null
   * @return the text, never null
   */
  public static String toText(ConfigurationRecord record) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("version", record.version());
    node.put("attempt", record.attempt());
    node.put("author", record.author());
    node.put("digest", record.digest());
    node.put("summary", record.summary());
    return JsonUtils.toText(node);
  }

  /**
   * Converts JSON to a record.
   *
   * @param text the text, not null
   * @return the record, never null
   * @throws IllegalArgumentException if the text is not a valid record
   */
  public static ConfigurationRecord fromText(String text) {
    JsonNode node = JsonUtils.parse(text);
    return new ConfigurationRecord(
        node.path("version").asLong(),
        node.path("attempt").asText(),
        node.path("author").asText(),
        node.path("digest").asText(),
        node.path("summary").asText());
  }
}
