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

/** Prints what the logs of all entries say of one request, in the order of time. */
public final class ExplainCommand implements Command {

  private static final Setting<String> REQUEST =
      Setting.of("request", "an id", "", "id of the request", text -> text);

  private static final Setting<Path> LOG =
      new Setting<>(
          "log",
          "a path",
          null,
          "log of an entry; may be given several times",
          false,
          SettingArity.MANY,
          Path::of);

  /** Events that change what a process believes of targets and configuration. */
  private static final Set<String> BELIEFS =
      Set.of(
          "targets changed",
          "accepted",
          "registry lost",
          "registry regained",
          "source lost",
          "source regained",
          "target stands still",
          "ordered");

  /** One line of a log. */
  private record Line(String time, String source, JsonNode fields) {

    boolean isOf(String request) {
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
    return "Prints the way of one request through the logs of entries.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(REQUEST, LOG);
  }

  @Override
  public int run(SettingValues values, PrintStream out) {
    String request = values.get(REQUEST);
    List<Line> lines = new ArrayList<>();
    for (Path path : values.getAll(LOG)) {
      try {
        lines.addAll(read(path));
      } catch (IOException e) {
        out.println("explain: log " + path + " can't be read: " + e.getMessage());
        return EXIT_FAILED;
      }
    }
    lines.sort(Comparator.comparing(Line::time));
    List<Line> path = select(lines, request);
    if (path.isEmpty()) {
      out.println("explain: no line of request " + request + " in " + lines.size() + " lines");
      return EXIT_FAILED;
    }
    path.forEach(l -> out.println(l.time() + " " + l.source() + " " + l.fields()));
    return EXIT_OK;
  }

  private static List<Line> read(Path path) throws IOException {
    List<Line> lines = new ArrayList<>();
    String source = path.getFileName().toString();
    for (String text : Files.readAllLines(path, StandardCharsets.UTF_8)) {
      int start = text.indexOf('{');
      if (start >= 0) {
        JsonNode fields = JsonUtils.parse(text.substring(start));
        lines.add(new Line(fields.path("time").asText(), source, fields));
      }
    }
    return lines;
  }

  /** Selects the request's lines, and before each the last lines that formed its belief. */
  private static List<Line> select(List<Line> lines, String request) {
    Set<String> targets = new HashSet<>();
    Set<String> entries = new HashSet<>();
    lines.stream()
        .filter(l -> l.isOf(request))
        .forEach(
            l -> {
              entries.add(l.source());
              targets.add(l.fields().path("target").asText());
            });
    int first = -1;
    int last = -1;
    for (int i = 0; i < lines.size(); i++) {
      if (lines.get(i).isOf(request)) {
        first = first < 0 ? i : first;
        last = i;
      }
    }
    List<Line> selected = new ArrayList<>();
    Set<String> seenBefore = new HashSet<>();
    for (int i = first - 1; i >= 0 && first > 0; i--) {
      Line line = lines.get(i);
      if (isBelief(line, entries, targets) && seenBefore.add(line.source() + line.getEvent())) {
        selected.add(0, line);
      }
    }
    for (int i = Math.max(0, first); i <= last; i++) {
      Line line = lines.get(i);
      if (line.isOf(request) || isBelief(line, entries, targets)) {
        selected.add(line);
      }
    }
    return first < 0 ? List.of() : selected;
  }

  /** Tests for a belief of an entry that had the request, or of any entry on one of its targets. */
  private static boolean isBelief(Line line, Set<String> entries, Set<String> targets) {
    if (!BELIEFS.contains(line.getEvent())) {
      return false;
    }
    JsonNode target = line.fields().path("target");
    return target.isMissingNode()
        ? entries.contains(line.source())
        : targets.contains(target.asText());
  }
}
