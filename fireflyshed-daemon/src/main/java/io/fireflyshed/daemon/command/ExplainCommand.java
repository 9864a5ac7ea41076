package io.fireflyshed.daemon.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingArity;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.json.JsonUtils;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Prints the log lines of one request from the logs of several entries in chronological order,
 * together with the state changes that its routing was based on.
 */
public final class ExplainCommand implements Command {

  private static final Setting<String> REQUEST =
      Setting.of("request", "an id", "", "id of the request", text -> text);

  private static final Setting<Path> LOG =
      new Setting<>(
          "log",
          "a path",
          null,
          "log file of an entry; may be repeated",
          false,
          SettingArity.MANY,
          Path::of);

  /** Events that change the view that a process has of the targets and the configuration. */
  private static final Set<String> STATE_CHANGES =
      Set.of(
          "targets changed",
          "accepted",
          "registry lost",
          "registry regained",
          "source lost",
          "source regained",
          "target is silent",
          "target stands still",
          "fingerprint refused",
          "ordered");

  /** One line of a log. */
  private record LogLine(String time, String source, JsonNode fields) {

    boolean belongsTo(String request) {
      return fields.path("request").asText().equals(request);
    }

    String getEvent() {
      return fields.path("event").asText();
    }
  }

  @Override
  public String getName() {
    return "explain";
  }

  @Override
  public String getSummary() {
    return "Prints the log lines of one request from the logs of several entries.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(REQUEST, LOG);
  }

  @Override
  public int run(SettingValues values, PrintStream out) {
    String request = values.get(REQUEST);
    List<LogLine> lines = new ArrayList<>();
    for (Path path : values.getAll(LOG)) {
      try {
        lines.addAll(readLines(path));
      } catch (IOException e) {
        out.println("explain: cannot read log file " + path + ": " + e.getMessage());
        return EXIT_FAILED;
      }
    }
    lines.sort(Comparator.comparing(LogLine::time));
    List<LogLine> selected = selectLines(lines, request);
    if (selected.isEmpty()) {
      out.println("explain: request " + request + " not found in " + lines.size() + " log lines");
      return EXIT_FAILED;
    }
    selected.forEach(l -> out.println(l.time() + " " + l.source() + " " + l.fields()));
    return EXIT_OK;
  }

  private static List<LogLine> readLines(Path path) throws IOException {
    List<LogLine> lines = new ArrayList<>();
    String source = path.getFileName().toString();
    for (String text : Files.readAllLines(path, StandardCharsets.UTF_8)) {
      int start = text.indexOf('{');
      if (start >= 0) {
        JsonNode fields = JsonUtils.parse(text.substring(start));
        lines.add(new LogLine(fields.path("time").asText(), source, fields));
      }
    }
    return lines;
  }

  /**
   * Selects the lines of the request and the state changes that concern it: the latest of each
   * event and log before the first line, and all between the first and the last line.
   */
  private static List<LogLine> selectLines(List<LogLine> lines, String request) {
    Set<String> targets = new HashSet<>();
    Set<String> entries = new HashSet<>();
    lines.stream()
        .filter(l -> l.belongsTo(request))
        .forEach(
            l -> {
              entries.add(l.source());
              targets.add(l.fields().path("target").asText());
            });
    int firstIndex = -1;
    int lastIndex = -1;
    for (int i = 0; i < lines.size(); i++) {
      if (lines.get(i).belongsTo(request)) {
        firstIndex = firstIndex < 0 ? i : firstIndex;
        lastIndex = i;
      }
    }
    List<LogLine> selected = new ArrayList<>();
    Set<String> seenChanges = new HashSet<>();
    for (int i = firstIndex - 1; i >= 0 && firstIndex > 0; i--) {
      LogLine line = lines.get(i);
      if (isStateChange(line, entries, targets)
          && seenChanges.add(line.source() + line.getEvent())) {
        selected.add(0, line);
      }
    }
    for (int i = Math.max(0, firstIndex); i <= lastIndex; i++) {
      LogLine line = lines.get(i);
      if (line.belongsTo(request) || isStateChange(line, entries, targets)) {
        selected.add(line);
      }
    }
    return firstIndex < 0 ? List.of() : selected;
  }

  /**
   * Tests for a state change at an entry that handled the request, or a state change of one of the
   * request's targets at any entry.
   */
  private static boolean isStateChange(LogLine line, Set<String> entries, Set<String> targets) {
    if (!STATE_CHANGES.contains(line.getEvent())) {
      return false;
    }
    JsonNode target = line.fields().path("target");
    return target.isMissingNode()
        ? entries.contains(line.source())
        : targets.contains(target.asText());
  }
}
