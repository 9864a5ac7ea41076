package io.fireflyshed.protocol.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.fireflyshed.state.configuration.SiteConfiguration;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests {@link ConfigurationChecker} and the classes that it uses. */
public class ConfigurationCheckerTest {

  private static final String BASE =
      """
      services:
        cards:
          model: m1
          engine: e1
          replica: {instances: 3, count: 2}
      accounts: {}
      fencing: {e1: enforced}
      """;

  private static List<String> findProblems(String base, String overlay) {
    try {
      check(base, overlay);
      return List.of();
    } catch (ConfigurationException e) {
      return e.getProblems().stream().map(ConfigurationProblem::toString).toList();
    }
  }

  private static ConfigurationDocument check(String base, String overlay) {
    return new ConfigurationChecker()
        .check(
            ConfigurationSource.parse("base.yaml", base),
            Map.of("s", ConfigurationSource.parse("s.yaml", overlay)));
  }

  /** Tests of merging overlays into the base. */
  public static class Merging {

    @Test
    public void mergesObjectsByKeyAndRemovesKeyByNull() {
      String overlay =
          """
          services:
            cards: {replica: {count: 5}, weights: {groupDowntime: 8, strandedAccelerators: 1}}
          drains: {instances: {i1: bad fan}}
          """;
      SiteConfiguration site = SiteConfigurationReader.read(check(BASE, overlay).resolve("s"));
      assertEquals(site.services().get(new ServiceName("cards")).spec().replicas(), 5);
      assertEquals(site.services().get(new ServiceName("cards")).spec().instancesPerReplica(), 3);
      assertEquals(site.services().get(new ServiceName("cards")).groupDowntimeWeight(), 8.0);
      assertEquals(site.drains(), Map.of(new InstanceId("i1"), "bad fan"));
      String removal = "services: {cards: null}";
      assertEquals(check(BASE, removal).resolve("s").path("services").size(), 0);
    }

    @Test
    public void diffTransformsOneTreeIntoAnother() {
      ConfigurationDocument from = check(BASE, "services: {cards: {model: m2}}");
      ConfigurationDocument to = check(BASE, "services: {cards: null}");
      assertEquals(
          MergePatchUtils.apply(
              from.resolve("s"), MergePatchUtils.diff(from.resolve("s"), to.resolve("s"))),
          to.resolve("s"));
      assertEquals(ConfigurationDocument.fromText(from.toText()), from);
    }
  }

  /** Tests of the reported problems and their places. */
  public static class ProblemReports {

    @Test
    public void nameOverlayThatContainsValue() {
      String overlay = "\nservices:\n  cards:\n    replica:\n      count: -1\n";
      List<String> problems = findProblems(BASE, overlay);
      assertEquals(problems.size(), 1, problems.toString());
      String start = "s.yaml:5: /services/cards/replica/count: ";
      assertEquals(problems.get(0).substring(0, start.length()), start);
    }

    @Test
    public void nameBaseIfOverlayLacksValue() {
      assertEquals(
          findProblems(BASE + "colour: red\n", "{}"), List.of("base.yaml:8: /colour: unknown key"));
    }

    @Test
    public void reportDuplicateKeys() {
      List<String> problems = findProblems(BASE + "accounts: {}\n", "{}");
      assertEquals(problems, List.of("base.yaml:8: /: Duplicate field 'accounts'"));
    }

    @Test
    public void reportTargetKindWithoutFencing() {
      List<String> problems = findProblems(BASE, "services: {cards: {engine: e2}}");
      String expected =
          "s.yaml:1: /services/cards/engine:"
              + " fencing does not state whether e2 checks fencing tokens";
      assertEquals(problems, List.of(expected));
    }

    @Test
    public void reportKeyOfTwoAccounts() {
      String hash = "a".repeat(64);
      String key = "{keys: [{salt: aaaaaaaaaaaaaaaa, hash: " + hash + "}]}";
      List<String> problems =
          findProblems(BASE, "accounts:\n  a1: " + key + "\n  a2: " + key + "\n");
      String expected =
          "s.yaml:3: /accounts/a2/keys/0/hash: duplicate of the hash at /accounts/a1/keys/0/hash";
      assertEquals(problems, List.of(expected));
    }

    @Test
    public void rejectTextThatIsNotMapping() {
      assertThrows(
          ConfigurationException.class, () -> ConfigurationSource.parse("x.yaml", "- 1\n"));
      assertThrows(
          ConfigurationException.class, () -> ConfigurationSource.parse("x.yaml", "a: [1\n"));
      assertThrows(ConfigurationException.class, () -> ConfigurationSource.parse("x.yaml", ""));
    }
  }
}
