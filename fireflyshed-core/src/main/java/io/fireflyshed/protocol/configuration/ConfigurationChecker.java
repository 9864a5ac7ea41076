package io.fireflyshed.protocol.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import com.networknt.schema.path.NodePath;
import io.fireflyshed.state.IdentifierUtils;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Validates a base configuration and its overlays against the schema and against rules that involve
 * several values. Thread safe.
 *
 * <p>The merged configuration of each site is validated. A problem is reported at the place of the
 * value: in the overlay if the overlay contains the value, otherwise in the base.
 */
public final class ConfigurationChecker {

  /** The maximum length of the text of a configuration document, in characters. */
  public static final int MAX_TEXT = 512 * 1024;

  private static final String SCHEMA = "site.schema.json";

  private final Schema schema;

  /** Creates a checker. */
  public ConfigurationChecker() {
    SchemaRegistry registry = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);
    schema = registry.getSchema(readSchema());
  }

  /**
   * Validates a base configuration and its overlays.
   *
   * @param base the base, not null
   * @param overlays the overlay of each site by its name, not null
   * @return the document that consists of the base and the overlays, never null
   * @throws ConfigurationException if there are problems
   */
  public ConfigurationDocument check(
      ConfigurationSource base, Map<String, ConfigurationSource> overlays) {
    Objects.requireNonNull(base, "base");
    SortedMap<String, JsonNode> trees = new TreeMap<>();
    overlays.forEach((site, source) -> trees.put(site, source.tree()));
    ConfigurationDocument document = new ConfigurationDocument(base.tree(), trees);
    Set<ConfigurationProblem> problems = new LinkedHashSet<>();
    overlays.forEach(
        (site, overlay) -> problems.addAll(checkSite(document, site, List.of(overlay, base))));
    if (overlays.isEmpty()) {
      problems.addAll(checkSite(document, "", List.of(base)));
    }
    if (document.toText().length() > MAX_TEXT) {
      problems.add(
          new ConfigurationProblem(
              base.file(),
              1,
              "",
              "exceeds " + MAX_TEXT + " characters together with its overlays"));
    }
    if (!problems.isEmpty()) {
      throw new ConfigurationException(List.copyOf(problems));
    }
    return document;
  }

  private List<ConfigurationProblem> checkSite(
      ConfigurationDocument document, String site, List<ConfigurationSource> sources) {
    JsonNode merged = document.resolve(site);
    List<ConfigurationProblem> problems = new ArrayList<>();
    if (!site.isEmpty() && !IdentifierUtils.isIdentifier(site)) {
      problems.add(newProblem(sources, "", "invalid site name: " + site));
    }
    for (Error error : schema.validate(merged)) {
      String path = toPointer(error.getInstanceLocation());
      String property = error.getProperty();
      boolean isUnknownKey = "additionalProperties".equals(error.getKeyword()) && property != null;
      problems.add(
          isUnknownKey
              ? newProblem(sources, path + "/" + property, "unknown key")
              : newProblem(sources, path, error.getMessage()));
    }
    if (problems.isEmpty()) {
      checkConsistency(merged, sources, problems);
    }
    return problems;
  }

  private static void checkConsistency(
      JsonNode merged,
      List<ConfigurationSource> sources,
      Collection<ConfigurationProblem> problems) {
    for (Map.Entry<String, JsonNode> service : merged.path("services").properties()) {
      String path = "/services/" + service.getKey();
      checkFencing(merged, service.getValue(), path, "engine", sources, problems);
      JsonNode weights = service.getValue().path("weights");
      if (weights.isObject()
          && weights.path("groupDowntime").asDouble() == 0
          && weights.path("strandedAccelerators").asDouble() == 0) {
        problems.add(
            newProblem(sources, path + "/weights", "at least one weight must be greater than 0"));
      }
    }
    for (Map.Entry<String, JsonNode> desk : merged.path("desks").properties()) {
      String path = "/desks/" + desk.getKey();
      checkFencing(merged, desk.getValue(), path, "target", sources, problems);
      if (merged.path("services").has(desk.getKey())) {
        problems.add(newProblem(sources, path, "a model service has the same name"));
      }
    }
    checkDuplicateKeys(merged, sources, problems);
  }

  private static void checkFencing(
      JsonNode merged,
      JsonNode owner,
      String path,
      String field,
      List<ConfigurationSource> sources,
      Collection<ConfigurationProblem> problems) {
    String kind = owner.path(field).asText();
    if (!merged.path("fencing").has(kind)) {
      String message = "fencing does not state whether " + kind + " checks fencing tokens";
      problems.add(newProblem(sources, path + "/" + field, message));
    }
  }

  private static void checkDuplicateKeys(
      JsonNode merged,
      List<ConfigurationSource> sources,
      Collection<ConfigurationProblem> problems) {
    Map<String, String> pathByHash = new HashMap<>();
    for (Map.Entry<String, JsonNode> account : merged.path("accounts").properties()) {
      JsonNode keys = account.getValue().path("keys");
      for (int i = 0; i < keys.size(); i++) {
        String path = "/accounts/" + account.getKey() + "/keys/" + i + "/hash";
        String firstPath = pathByHash.putIfAbsent(keys.get(i).path("hash").asText(), path);
        if (firstPath != null) {
          problems.add(newProblem(sources, path, "duplicate of the hash at " + firstPath));
        }
      }
    }
  }

  private static ConfigurationProblem newProblem(
      List<ConfigurationSource> sources, String path, String message) {
    for (String ancestor = path;
        !ancestor.isEmpty();
        ancestor = ancestor.substring(0, ancestor.lastIndexOf('/'))) {
      for (ConfigurationSource source : sources) {
        if (source.findLine(ancestor).isPresent()) {
          return new ConfigurationProblem(
              source.file(), source.findLine(ancestor).getAsInt(), path, message);
        }
      }
    }
    ConfigurationSource last = sources.get(sources.size() - 1);
    return new ConfigurationProblem(last.file(), 1, path, message);
  }

  private static String toPointer(NodePath path) {
    StringBuilder pointer = new StringBuilder();
    for (int i = 0; i < path.getNameCount(); i++) {
      pointer.append('/').append(path.getElement(i));
    }
    return pointer.toString();
  }

  private static String readSchema() {
    try (InputStream stream = ConfigurationChecker.class.getResourceAsStream(SCHEMA)) {
      return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
