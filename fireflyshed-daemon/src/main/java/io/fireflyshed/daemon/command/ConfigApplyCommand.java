package io.fireflyshed.daemon.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.coordination.configuration.CommitOutcome;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.configuration.ConfigurationChange;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.protocol.json.JsonUtils;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.UUID;

/** Applies the files of a configuration as the next version. */
public final class ConfigApplyCommand extends ConfigCommand {

  private static final int MAX_SUMMARY_CHANGES = 3;
  private static final int MAX_VALUE_LENGTH = 80;

  private static final Setting<Long> FROM =
      Setting.of(
          "from",
          "0 or more",
          null,
          "the version that the files were made from; 0 if none was ever applied",
          ConfigApplyCommand::parseVersion);

  private static final Setting<String> AUTHOR =
      Setting.of(
          "author", "a name", null, "who applies the files", ConfigApplyCommand::parseAuthor);

  @Override
  public String getName() {
    return "config apply";
  }

  @Override
  public String getSummary() {
    return "Applies the files as the next version.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(
        ConfigSettings.BASE,
        ConfigSettings.OVERLAY,
        FROM,
        AUTHOR,
        ServeSettings.PLATFORM,
        ConfigSettings.JSON);
  }

  @Override
  int runConfig(SettingValues values, PrintStream out) {
    ConfigurationDocument document = ConfigSettings.readDocument(values);
    long from = values.get(FROM);
    try (Platform platform = new Platform(values.get(ServeSettings.PLATFORM))) {
      String summary = summarize(findChanges(platform.readDocument(from), document));
      CommitOutcome outcome =
          platform
              .getCommitter()
              .apply(from, "a" + UUID.randomUUID(), values.get(AUTHOR), document.toText(), summary)
              .join();
      return print(outcome, from, platform, values.get(ConfigSettings.JSON), out);
    }
  }

  /** Writes the first changes in one line. */
  static String summarize(SortedMap<String, List<ConfigurationChange>> changes) {
    List<String> parts = new ArrayList<>();
    changes.forEach((site, list) -> list.forEach(c -> parts.add(site + " " + toShortText(c))));
    String first = String.join("; ", parts.subList(0, Math.min(MAX_SUMMARY_CHANGES, parts.size())));
    int left = parts.size() - MAX_SUMMARY_CHANGES;
    if (parts.isEmpty()) {
      return "no change";
    }
    return left > 0 ? first + "; and " + left + " more" : first;
  }

  private static String toShortText(ConfigurationChange change) {
    String text = change.toString();
    return text.length() <= MAX_VALUE_LENGTH ? text : text.substring(0, MAX_VALUE_LENGTH) + "...";
  }

  private static int print(
      CommitOutcome outcome, long from, Platform platform, boolean isJson, PrintStream out) {
    ObjectNode answer = JsonUtils.getMapper().createObjectNode();
    int code;
    String text;
    if (outcome instanceof CommitOutcome.Accepted accepted) {
      answer.put("outcome", "accepted").set("record", toJson(accepted.record()));
      text = "accepted: " + toLine(accepted.record());
      code = EXIT_OK;
    } else if (outcome instanceof CommitOutcome.Conflict conflict) {
      answer.put("outcome", "conflict").set("winner", toJson(conflict.winner()));
      text = "conflict: " + toLine(conflict.winner()) + "\nchanged since version " + from + ":";
      code = EXIT_CONFLICT;
    } else if (outcome instanceof CommitOutcome.Undecided undecided) {
      answer.put("outcome", "undecided").put("attempt", undecided.attempt());
      text = "undecided: look for attempt " + undecided.attempt() + " in the history";
      code = EXIT_UNDECIDED;
    } else {
      String reason = ((CommitOutcome.Rejected) outcome).reason();
      answer.put("outcome", "rejected").put("reason", reason);
      text = "rejected, nothing was applied: " + reason;
      code = EXIT_UNREACHABLE;
    }
    SortedMap<String, List<ConfigurationChange>> changes =
        code == EXIT_CONFLICT
            ? findChanges(
                platform.readDocument(from), platform.readDocument(platform.readVersion()))
            : java.util.Collections.emptySortedMap();
    if (code == EXIT_CONFLICT) {
      answer.set("sites", toJson(changes));
    }
    out.println(isJson ? JsonUtils.toText(answer) : text);
    if (!isJson) {
      printChanges(changes, out);
    }
    return code;
  }

  private static Long parseVersion(String text) {
    long version = Long.parseLong(text);
    if (version < 0) {
      throw new IllegalArgumentException("negative");
    }
    return version;
  }

  private static String parseAuthor(String text) {
    if (text.isBlank()) {
      throw new IllegalArgumentException("blank");
    }
    return text;
  }
}
