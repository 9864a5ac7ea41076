package io.fireflyshed.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.coordination.configuration.CommitOutcome;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ServingView;
import io.fireflyshed.transport.configuration.ConfigurationAgent;
import io.fireflyshed.transport.configuration.ConfigurationCommitter;
import io.fireflyshed.transport.configuration.ConfigurationEditor;
import io.fireflyshed.transport.configuration.ConfigurationStatus;
import io.fireflyshed.transport.configuration.ConfigurationStore;
import io.fireflyshed.transport.operator.OperatorActions;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Performs the operator actions of an entry process. Thread safe. */
final class EntryOperatorActions implements OperatorActions {

  private static final long RETRY_MILLIS = 200;

  private final String site;
  private final ConfigurationAgent agent;
  private final Supplier<ServingView> views;
  private final ConfigurationEditor editor;
  private final MonotonicClock clock;

  EntryOperatorActions(
      String site,
      ConfigurationAgent agent,
      Supplier<ServingView> views,
      ConfigurationStore store,
      MonotonicClock clock) {
    this.site = site;
    this.agent = agent;
    this.views = views;
    this.clock = clock;
    this.editor =
        new ConfigurationEditor(
            store,
            new ConfigurationCommitter(
                store, CompletableFuture.delayedExecutor(RETRY_MILLIS, TimeUnit.MILLISECONDS)));
  }

  @Override
  public JsonNode getConfiguration() {
    ConfigurationStatus status = agent.getStatus();
    long now = clock.nanoTime();
    ObjectNode response = JsonUtils.getMapper().createObjectNode();
    response.put("site", site);
    response.put("version", status.inForce().map(r -> r.version()).orElse(0L));
    response.put("author", status.inForce().map(r -> r.author()).orElse(""));
    response.put("since_ms", TimeUnit.NANOSECONDS.toMillis(now - status.sinceNanos()));
    return response.put("current", status.isCurrent(now));
  }

  @Override
  public JsonNode getReplicas() {
    ArrayNode response = JsonUtils.getMapper().createArrayNode();
    long now = clock.nanoTime();
    views
        .get()
        .open()
        .forEach(
            (service, replicas) -> {
              for (OpenReplica replica : replicas) {
                ObjectNode node = response.addObject();
                node.put("service", service.value());
                node.put("replica", replica.assignment().id().value());
                node.put("generation", replica.assignment().generation());
                node.put("open", replica.isOpen(now));
                ArrayNode members = node.putArray("members");
                replica.assignment().members().forEach(m -> members.add(m.id().value()));
              }
            });
    return response;
  }

  @Override
  public CompletableFuture<CommitOutcome> drain(
      String operator, InstanceId instance, String reason) {
    return edit(operator, "drain " + instance + ": " + reason, instance, reason);
  }

  @Override
  public CompletableFuture<CommitOutcome> undrain(String operator, InstanceId instance) {
    return edit(operator, "undrain " + instance, instance, null);
  }

  private CompletableFuture<CommitOutcome> edit(
      String operator, String summary, InstanceId instance, String reason) {
    return editor.edit(operator, summary, document -> updateDrain(document, instance, reason));
  }

  /**
   * Sets the drain of an instance in the overlay of the site, or removes it if the reason is null.
   * A drain in the base is removed by a null in the overlay.
   */
  private ConfigurationDocument updateDrain(
      ConfigurationDocument document, InstanceId instance, String reason) {
    SortedMap<String, JsonNode> overlays = new TreeMap<>(document.overlays());
    ObjectNode overlay = JsonUtils.getMapper().createObjectNode();
    if (overlays.containsKey(site)) {
      overlay = overlays.get(site).deepCopy();
    }
    ObjectNode drains = overlay.withObject("/drains/instances");
    boolean isInBase = document.base().path("drains").path("instances").has(instance.value());
    if (reason != null || isInBase) {
      drains.put(instance.value(), reason);
    } else {
      drains.remove(instance.value());
    }
    overlays.put(site, overlay);
    return new ConfigurationDocument(document.base(), overlays);
  }
}
