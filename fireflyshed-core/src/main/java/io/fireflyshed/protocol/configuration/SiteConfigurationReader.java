package io.fireflyshed.protocol.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.state.configuration.AccountConfiguration;
import io.fireflyshed.state.configuration.FencingSupport;
import io.fireflyshed.state.configuration.KeyHash;
import io.fireflyshed.state.configuration.ServiceConfiguration;
import io.fireflyshed.state.configuration.SiteConfiguration;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.BiFunction;
import java.util.function.Function;

/** Converts the validated tree of a site to a {@link SiteConfiguration}. */
public final class SiteConfigurationReader {

  private static final double DEFAULT_WEIGHT = 1;

  private SiteConfigurationReader() {}

  /**
   * Converts the tree of a site to its configuration.
   *
   * @param tree the merged and validated tree, not null
   * @return the configuration, never null
   * @throws IllegalArgumentException if a value is out of range
   */
  public static SiteConfiguration read(JsonNode tree) {
    return new SiteConfiguration(
        readMap(tree.path("services"), ServiceName::new, SiteConfigurationReader::readService),
        readMap(tree.path("accounts"), key -> key, SiteConfigurationReader::readAccount),
        readMap(
            tree.path("drains").path("instances"), InstanceId::new, (key, node) -> node.asText()),
        readMap(tree.path("desks"), ServiceName::new, (key, node) -> node.path("target").asText()),
        readMap(tree.path("fencing"), key -> key, (key, node) -> readFencing(node)));
  }

  private static <K, V> Map<K, V> readMap(
      JsonNode node, Function<String, K> toKey, BiFunction<String, JsonNode, V> toValue) {
    Map<K, V> map = new HashMap<>();
    node.properties()
        .forEach(
            entry ->
                map.put(
                    toKey.apply(entry.getKey()), toValue.apply(entry.getKey(), entry.getValue())));
    return map;
  }

  private static ServiceConfiguration readService(String name, JsonNode node) {
    JsonNode replica = node.path("replica");
    JsonNode weights = node.path("weights");
    return new ServiceConfiguration(
        new ModelServiceSpec(
            new ServiceName(name),
            node.path("model").asText(),
            replica.path("instances").asInt(),
            replica.path("count").asInt()),
        node.path("engine").asText(),
        weights.path("groupDowntime").asDouble(DEFAULT_WEIGHT),
        weights.path("strandedAccelerators").asDouble(DEFAULT_WEIGHT));
  }

  private static AccountConfiguration readAccount(String name, JsonNode node) {
    List<KeyHash> keys = new ArrayList<>();
    node.path("keys")
        .forEach(
            key -> keys.add(new KeyHash(key.path("salt").asText(), key.path("hash").asText())));
    JsonNode limits = node.path("limits");
    return new AccountConfiguration(
        name,
        keys,
        readLimit(limits.path("requestsPerSecond")),
        readLimit(limits.path("tokensPerSecond")));
  }

  private static OptionalDouble readLimit(JsonNode node) {
    return node.isNumber() ? OptionalDouble.of(node.asDouble()) : OptionalDouble.empty();
  }

  private static FencingSupport readFencing(JsonNode node) {
    return FencingSupport.valueOf(node.asText().toUpperCase(Locale.ROOT));
  }
}
