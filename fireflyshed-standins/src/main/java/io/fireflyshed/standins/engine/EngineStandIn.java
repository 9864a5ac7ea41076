package io.fireflyshed.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.instance.InstanceId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Simulates the model engine of one instance. It loads a model when an order assigns it to a
 * replica, generates tokens with continuous batching and caches prefixes of prompts. Thread safe.
 *
 * <p>The head of a replica serves requests only while all members run the same replica at the same
 * generation.
 */
public final class EngineStandIn {

  private final InstanceId instance;
  private final EngineSettings settings;
  private final EngineFleet fleet;
  private final ScheduledExecutorService timer;
  private final PrefixCache cache;
  private final List<EngineRun> queued = new ArrayList<>();
  private final List<EngineRun> running = new ArrayList<>();
  private String bootId = UUID.randomUUID().toString();
  private EngineFault fault = EngineFault.NONE;
  private String replica = "";
  private long generation;
  private long fencingToken;
  private boolean isReady;
  private boolean isLeaving;
  private List<InstanceId> members = List.of();
  private long cancelledCount;
  private long generatedTokens;

  EngineStandIn(
      InstanceId instance,
      EngineSettings settings,
      EngineFleet fleet,
      ScheduledExecutorService timer) {
    this.instance = instance;
    this.settings = settings;
    this.fleet = fleet;
    this.timer = timer;
    this.cache = new PrefixCache(settings.cacheBlocks());
  }

  /**
   * Gets the id of the instance.
   *
   * @return the id, never null
   */
  public InstanceId getInstance() {
    return instance;
  }

  /**
   * Gets the number of attempts that were cancelled, by request or by a closed connection.
   *
   * @return the count, 0 or more
   */
  public synchronized long getCancelled() {
    return cancelledCount;
  }

  /**
   * Gets the number of requests that are queued or running.
   *
   * @return the count, 0 or more
   */
  public synchronized int getActive() {
    return queued.size() + running.size();
  }

  /**
   * Gets the number of tokens generated and handed to the network.
   *
   * @return the count, 0 or more
   */
  public synchronized long getGeneratedTokens() {
    return generatedTokens;
  }

  /**
   * Injects a fault into all later requests and steps. {@link EngineFault#DEAD} also restarts the
   * engine.
   *
   * @param fault the fault, or {@link EngineFault#NONE} to end the current one, not null
   */
  public synchronized void setFault(EngineFault fault) {
    this.fault = fault;
    if (fault == EngineFault.DEAD) {
      restart();
    }
  }

  /** Marks the instance as leaving. It reports this and rejects new requests until a restart. */
  public synchronized void leave() {
    isLeaving = true;
  }

  /** Restarts the engine. It gets a new boot id, loses its model and aborts all streams. */
  public synchronized void restart() {
    bootId = UUID.randomUUID().toString();
    replica = "";
    generation = 0;
    isReady = false;
    isLeaving = false;
    fencingToken = settings.isFencingEnforced() ? fencingToken : 0;
    members = List.of();
    cache.clear();
    abortAll();
  }

  synchronized EngineFault getFault() {
    return fault;
  }

  synchronized ObjectNode getHealth() {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("instance", instance.value());
    node.put("bootId", bootId);
    node.put("replica", replica);
    node.put("generation", generation);
    node.put("fence", fencingToken);
    node.put("ready", isReady);
    node.put("leaving", isLeaving);
    return node;
  }

  synchronized ObjectNode getLoad() {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("running", running.size());
    node.put("queued", queued.size());
    node.put("cachedTokens", cache.getCachedTokens());
    node.put("ageMillis", 0);
    return node;
  }

  synchronized ObjectNode getCacheEvents(long after) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    ArrayNode events = node.putArray("events");
    for (CacheEvent event : cache.getEventsAfter(after)) {
      events
          .addObject()
          .put("sequence", event.sequence())
          .put("block", event.block())
          .put("stored", event.isStored());
    }
    return node;
  }

  /** Carries out an order unless its fencing token is outdated, and returns whether it did. */
  synchronized boolean applyOrder(JsonNode order) {
    long token = order.path("fence").asLong();
    if (settings.isFencingEnforced() && token < fencingToken) {
      return false;
    }
    fencingToken = Math.max(fencingToken, token);
    String orderedReplica = order.path("replica").asText();
    long orderedGeneration = order.path("generation").asLong();
    if (orderedReplica.equals(replica) && orderedGeneration == generation) {
      return true;
    }
    replica = orderedReplica;
    generation = orderedGeneration;
    isReady = false;
    cache.clear();
    abortAll();
    List<InstanceId> ids = new ArrayList<>();
    order.path("members").forEach(member -> ids.add(new InstanceId(member.asText())));
    members = List.copyOf(ids);
    if (!orderedReplica.isEmpty()) {
      timer.schedule(
          () -> completeLoad(orderedReplica, orderedGeneration),
          settings.loadTime().toMillis(),
          TimeUnit.MILLISECONDS);
    }
    return true;
  }

  private synchronized void completeLoad(String orderedReplica, long orderedGeneration) {
    if (orderedReplica.equals(replica) && orderedGeneration == generation) {
      isReady = true;
    }
  }

  /** Tests whether this engine is alive and has loaded a replica at a generation. */
  synchronized boolean isRunning(String expectedReplica, long expectedGeneration) {
    return fault != EngineFault.DEAD
        && isReady
        && replica.equals(expectedReplica)
        && generation == expectedGeneration;
  }

  synchronized List<InstanceId> getMembers() {
    return members;
  }

  /** Queues a request if this engine can run it, and returns whether it was queued. */
  synchronized boolean submit(EngineRun run, String expectedReplica, long expectedGeneration) {
    if (isLeaving || !isRunning(expectedReplica, expectedGeneration)) {
      return false;
    }
    queued.add(run);
    queued.sort(Comparator.comparingInt(EngineRun::getPriority).reversed());
    return true;
  }

  /** Cancels an attempt if it is queued or running. */
  synchronized void cancel(String attempt) {
    boolean isFound = queued.removeIf(run -> run.getAttempt().equals(attempt));
    isFound |= running.removeIf(run -> run.getAttempt().equals(attempt));
    cancelledCount += isFound ? 1 : 0;
  }

  /** Performs one step: fills the batch from the queue and advances each running request. */
  void step() {
    boolean isComplete = fleet.isReplicaComplete(this);
    synchronized (this) {
      if (fault == EngineFault.PAUSED) {
        return;
      }
      if (!isComplete) {
        abortAll();
        return;
      }
      while (running.size() < settings.maxBatchSize() && !queued.isEmpty()) {
        EngineRun run = queued.remove(0);
        int promptTokens = run.getPrompt().split("\\s+").length;
        run.setPrefillTokens(promptTokens - cache.cachePrompt(run.getPrompt()));
        running.add(run);
      }
      running.removeIf(this::stepRun);
    }
  }

  private boolean stepRun(EngineRun run) {
    if (run.isCancelled()) {
      cancelledCount++;
      return true;
    }
    long previousOffset = run.getNextOffset();
    boolean isFinished = run.step(settings.prefillTokensPerStep());
    generatedTokens += run.getNextOffset() - previousOffset;
    return isFinished;
  }

  private void abortAll() {
    List<EngineRun> runs = new ArrayList<>(queued);
    runs.addAll(running);
    queued.clear();
    running.clear();
    runs.forEach(EngineRun::abort);
  }

  synchronized String getReplica() {
    return replica;
  }

  synchronized long getGeneration() {
    return generation;
  }
}
