package io.fireflyshed.protocol.poison;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.coordination.poison.CrashFingerprint;
import io.fireflyshed.coordination.poison.CrashId;
import io.fireflyshed.coordination.poison.RequestFingerprints;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Encodes and decodes a {@link CrashReport} as JSON. */
public final class CrashReportCodec {

  private static final String CRASHES = "crashes";
  private static final String TARGET = "target";
  private static final String START = "start";
  private static final String SHARED_MILLIS = "shared_ms";
  private static final String REQUESTS = "requests";
  private static final String REQUEST = "request";
  private static final String PARTS = "parts";
  private static final String CLEARED = "cleared";
  private static final String COMMON = "common";

  private CrashReportCodec() {}

  /**
   * Encodes a report.
   *
   * @param report the report, not null
   * @return the JSON text, never null
   */
  public static String encode(CrashReport report) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    ArrayNode crashes = node.putArray(CRASHES);
    report.crashes().forEach((id, crash) -> addCrash(crashes, id, crash));
    addAll(node.putArray(CLEARED), report.cleared());
    if (!report.common().isEmpty()) {
      addAll(node.putArray(COMMON), report.common());
    }
    return JsonUtils.toText(node);
  }

  private static void addCrash(ArrayNode crashes, CrashId id, ReportedCrash crash) {
    ObjectNode node = crashes.addObject();
    node.put(TARGET, id.target().value()).put(START, id.startMillis());
    crash.sharedTime().ifPresent(time -> node.put(SHARED_MILLIS, time.toMillis()));
    ArrayNode requestNodes = node.putArray(REQUESTS);
    for (RequestFingerprints request : crash.requests()) {
      ObjectNode requestNode = requestNodes.addObject();
      requestNode.put(REQUEST, request.request().toString());
      addAll(requestNode.putArray(PARTS), request.parts());
    }
  }

  private static void addAll(ArrayNode node, Set<CrashFingerprint> fingerprints) {
    fingerprints.forEach(fingerprint -> node.add(fingerprint.toString()));
  }

  /**
   * Decodes a report.
   *
   * @param text the JSON text, not null
   * @return the report, never null
   * @throws IllegalArgumentException if the text is not a report
   */
  public static CrashReport decode(String text) {
    JsonNode node = JsonUtils.parse(text);
    Map<CrashId, ReportedCrash> crashes = new HashMap<>();
    for (JsonNode crashNode : node.path(CRASHES)) {
      InstanceId target = new InstanceId(crashNode.path(TARGET).asText());
      List<RequestFingerprints> requests = new ArrayList<>();
      for (JsonNode request : crashNode.path(REQUESTS)) {
        requests.add(
            new RequestFingerprints(
                CrashFingerprint.parse(request.path(REQUEST).asText()),
                decodeAll(request.path(PARTS))));
      }
      crashes.put(
          new CrashId(target, crashNode.path(START).asLong()),
          new ReportedCrash(decodeSharedTime(crashNode.path(SHARED_MILLIS)), requests));
    }
    // Reports of earlier releases name no common parts, and these skip the field.
    return new CrashReport(crashes, decodeAll(node.path(CLEARED)), decodeAll(node.path(COMMON)));
  }

  /** Decodes the time of a crash, which reports of earlier releases don't have. */
  private static Optional<Duration> decodeSharedTime(JsonNode node) {
    return node.canConvertToExactIntegral()
        ? Optional.of(Duration.ofMillis(node.asLong()))
        : Optional.empty();
  }

  private static Set<CrashFingerprint> decodeAll(JsonNode node) {
    Set<CrashFingerprint> fingerprints = new HashSet<>();
    node.forEach(f -> fingerprints.add(CrashFingerprint.parse(f.asText())));
    return fingerprints;
  }
}
