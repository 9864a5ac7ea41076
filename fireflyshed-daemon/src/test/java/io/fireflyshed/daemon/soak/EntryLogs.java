package io.fireflyshed.daemon.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The lines that entries logged. */
final class EntryLogs {

  /** The field that names the process of a line. */
  static final String PROCESS = "process";

  private final Map<String, List<JsonNode>> linesByRequest = new HashMap<>();
  private final Map<String, Long> events = new TreeMap<>();

  EntryLogs(List<EntryLife> lives) throws IOException {
    for (EntryLife life : lives) {
      for (String line : Files.readAllLines(life.getLog())) {
        if (line.startsWith("{") && line.endsWith("}")) {
          add(((ObjectNode) JsonUtils.parse(line)).put(PROCESS, life.toString()));
        }
      }
    }
    linesByRequest.values().forEach(l -> l.sort(Comparator.comparingLong(EntryLogs::toWallNanos)));
  }

  private void add(JsonNode line) {
    events.merge(line.path("event").asText(), 1L, Long::sum);
    String request = line.path("request").asText();
    linesByRequest.computeIfAbsent(request, r -> new ArrayList<>()).add(line);
  }

  /** Returns the lines that name a request, in order. */
  List<JsonNode> getLines(String request) {
    return linesByRequest.getOrDefault(request, List.of());
  }

  /** Returns how often events were logged; those that were not are left out. */
  Map<String, Long> countEvents(Collection<String> names) {
    Map<String, Long> counts = new TreeMap<>(events);
    counts.keySet().retainAll(names);
    return counts;
  }

  static long toWallNanos(JsonNode line) {
    return Duration.between(Instant.EPOCH, Instant.parse(line.path("time").asText())).toNanos();
  }
}
