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

/** Applies configuration files as the next version. */
public final class ConfigApplyCommand extends ConfigCommand {

  private static final int MAX_SUMMARY_CHANGES = 3;
  private static final int MAX_CHANGE_LENGTH = 80;

  private static final Setting<Long> FROM =
      Setting.of(
          "from",
          "0 or more",
          null,
          "version on which the files are based; 0 if no version was ever applied",
          ConfigApplyCommand::parseVersion);

  private static final Setting<String> AUTHOR =
      Setting.of(
          "author",
          "a name",
          null,
          "author to record with the version",
          ConfigApplyCommand::parseAuthor);

  @Override
  public String getName() {
    return "config apply";
  }

  @Override
  public String getSummary() {
    return "Applies configuration files as the next version.";
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
    try (PlatformStores platform = new PlatformStores(values.get(ServeSettings.PLATFORM))) {
      String summary = summarize(findChanges(platform.readDocument(from), document));
      CommitOutcome outcome =
          platform
              .getCommitter()
              .apply(from, "a" + UUID.randomUUID(), values.get(AUTHOR), document.toText(), summary)
              .join();
      return print(outcome, from, platform, values.get(ConfigSettings.JSON), out);
    }
  }

  /** Returns one line with the first changes and the number of others. */
  static String summarize(SortedMap<String, List<ConfigurationChange>> changes) {
    List<String> parts = new ArrayList<>();
    changes.forEach((site, list) -> list.forEach(c -> parts.add(site + " " + toShortText(c))));
    String first = String.join("; ", parts.subList(0, Math.min(MAX_SUMMARY_CHANGES, parts.size())));
    int omitted = parts.size() - MAX_SUMMARY_CHANGES;
    if (parts.isEmpty()) {
      return "no change";
    }
    return omitted > 0 ? first + "; and " + omitted + " more" : first;
  }

  private static String toShortText(ConfigurationChange change) {
    String text = change.toString();
    return text.length() <= MAX_CHANGE_LENGTH ? text : text.substring(0, MAX_CHANGE_LENGTH) + "...";
  }

  private static int print(
      CommitOutcome outcome, long from, PlatformStores platform, boolean isJson, PrintStream out) {
    ObjectNode result = JsonUtils.getMapper().createObjectNode();
    int code;
    String text;
    if (outcome instanceof CommitOutcome.Accepted accepted) {
      result.put("outcome", "accepted").set("record", toJson(accepted.record()));
      text = "accepted: " + toLine(accepted.record());
      code = EXIT_OK;
    } else if (outcome instanceof CommitOutcome.Conflict conflict) {
      result.put("outcome", "conflict").set("winner", toJson(conflict.winner()));
      text = "conflict: " + toLine(conflict.winner()) + "\nchanges since version " + from + ":";
      code = EXIT_CONFLICT;
    } else if (outcome instanceof CommitOutcome.Undecided undecided) {
      result.put("outcome", "undecided").put("attempt", undecided.attempt());
      text =
          "undecided: check in the history whether attempt "
              + undecided.attempt()
              + " was accepted";
      code = EXIT_UNDECIDED;
    } else {
      String reason = ((CommitOutcome.Rejected) outcome).reason();
      result.put("outcome", "rejected").put("reason", reason);
      text = "rejected, nothing was applied: " + reason;
      code = EXIT_UNREACHABLE;
    }
    SortedMap<String, List<ConfigurationChange>> changes =
        code == EXIT_CONFLICT
            ? findChanges(
                platform.readDocument(from), platform.readDocument(platform.readNewestVersion()))
            : java.util.Collections.emptySortedMap();
    if (code == EXIT_CONFLICT) {
      result.set("sites", toJson(changes));
    }
    out.println(isJson ? JsonUtils.toText(result) : text);
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
