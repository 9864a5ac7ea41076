package io.fireflyshed.protocol.poison;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import java.time.Duration;
import java.util.Optional;

/**
 * Encodes and decodes a {@link RefusalRow} as JSON. Rows of earlier releases consist of the source;
 * those releases don't read the text.
 */
public final class RefusalRowCodec {

  private static final String SOURCE = "source";
  private static final String CRASHES = "crashes";
  private static final String REFUSED_MILLIS = "refused_ms";
  private static final String TRIALS = "trials";
  private static final String TRIAL_MILLIS = "trial_ms";

  private RefusalRowCodec() {}

  /**
   * Encodes a row.
   *
   * @param row the row, not null
   * @return the JSON text, never null
   */
  public static String encode(RefusalRow row) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put(SOURCE, row.source()).put(CRASHES, row.crashes()).put(TRIALS, row.trials());
    row.refusedTime().ifPresent(time -> node.put(REFUSED_MILLIS, time.toMillis()));
    row.trialTime().ifPresent(time -> node.put(TRIAL_MILLIS, time.toMillis()));
    return JsonUtils.toText(node);
  }

  /**
   * Decodes a row.
   *
   * @param text the text of the row, not null
   * @return the row, never null; a text that is not JSON is taken for the source
   */
  public static RefusalRow decode(String text) {
    JsonNode node;
    try {
      node = JsonUtils.parse(text);
    } catch (IllegalArgumentException e) {
      return new RefusalRow(text, 0, Optional.empty(), 0, Optional.empty());
    }
    return new RefusalRow(
        node.path(SOURCE).asText(),
        Math.max(0, node.path(CRASHES).asInt()),
        decodeTime(node.path(REFUSED_MILLIS)),
        Math.max(0, node.path(TRIALS).asInt()),
        decodeTime(node.path(TRIAL_MILLIS)));
  }

  private static Optional<Duration> decodeTime(JsonNode node) {
    return node.canConvertToExactIntegral()
        ? Optional.of(Duration.ofMillis(node.asLong()))
        : Optional.empty();
  }
}
