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
 * Acts as the model engine of one instance: loads models on orders, batches requests continuously
 * and caches prompt prefixes. Thread safe.
 *
 * <p>The head of a replica serves only while all members run the same replica and generation.
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
  private long fence;
  private boolean isReady;
  private boolean isLeaving;
  private List<InstanceId> members = List.of();
  private long cancelled;
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
   * Gets the instance.
   *
   * @return the id, never null
   */
  public InstanceId getInstance() {
    return instance;
  }

  /**
   * Gets the number of attempts that were cancelled by their callers.
   *
   * @return the count, 0 or more
   */
  public synchronized long getCancelled() {
    return cancelled;
  }

  /**
   * Gets the number of requests that wait or run.
   *
   * @return the count, 0 or more
   */
  public synchronized int getActive() {
    return queued.size() + running.size();
  }

  /**
   * Gets the number of tokens that were handed to the network.
   *
   * @return the count, 0 or more
   */
  public synchronized long getGeneratedTokens() {
    return generatedTokens;
  }

  /**
   * Sets the fault to act out from now on.
   *
   * @param fault the fault, not null
   */
  public synchronized void setFault(EngineFault fault) {
    this.fault = fault;
    if (fault == EngineFault.DEAD) {
      restart();
    }
  }

  /** Announces that the instance leaves. */
  public synchronized void leave() {
    isLeaving = true;
  }

  /** Restarts the engine: a new boot id, no model, all streams broken off. */
  public synchronized void restart() {
    bootId = UUID.randomUUID().toString();
    replica = "";
    generation = 0;
    isReady = false;
    isLeaving = false;
    fence = settings.isFencing() ? fence : 0;
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
    node.put("fence", fence);
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

  /** Takes an order and tells whether it was accepted. */
  synchronized boolean order(JsonNode order) {
    long number = order.path("fence").asLong();
    if (settings.isFencing() && number < fence) {
      return false;
    }
    fence = Math.max(fence, number);
    String wanted = order.path("replica").asText();
    long wantedGeneration = order.path("generation").asLong();
    if (wanted.equals(replica) && wantedGeneration == generation) {
      return true;
    }
    replica = wanted;
    generation = wantedGeneration;
    isReady = false;
    cache.clear();
    abortAll();
    List<InstanceId> ids = new ArrayList<>();
    order.path("members").forEach(m -> ids.add(new InstanceId(m.asText())));
    members = List.copyOf(ids);
    if (!wanted.isEmpty()) {
      timer.schedule(
          () -> finishLoad(wanted, wantedGeneration),
          settings.loadTime().toMillis(),
          TimeUnit.MILLISECONDS);
    }
    return true;
  }

  private synchronized void finishLoad(String wanted, long wantedGeneration) {
    if (wanted.equals(replica) && wantedGeneration == generation) {
      isReady = true;
    }
  }

  /** Tests whether this engine runs a replica at a generation and is alive. */
  synchronized boolean isRunning(String wanted, long wantedGeneration) {
    return fault != EngineFault.DEAD
        && isReady
        && replica.equals(wanted)
        && generation == wantedGeneration;
  }

  synchronized List<InstanceId> getMembers() {
    return members;
  }

  /** Takes a request into the queue and tells whether it was accepted. */
  synchronized boolean submit(EngineRun run, String wanted, long wantedGeneration) {
    if (isLeaving || !isRunning(wanted, wantedGeneration)) {
      return false;
    }
    queued.add(run);
    queued.sort(Comparator.comparingInt(EngineRun::getPriority).reversed());
    return true;
  }

  /** Cancels an attempt. */
  synchronized void cancel(String attempt) {
    boolean isFound = queued.removeIf(r -> r.getAttempt().equals(attempt));
    isFound |= running.removeIf(r -> r.getAttempt().equals(attempt));
    cancelled += isFound ? 1 : 0;
  }

  /** Does one step of the batch. */
  void step() {
    boolean isWhole = fleet.isWhole(this);
    synchronized (this) {
      if (fault == EngineFault.PAUSED) {
        return;
      }
      if (!isWhole) {
        abortAll();
        return;
      }
      while (running.size() < settings.maxBatch() && !queued.isEmpty()) {
        EngineRun run = queued.remove(0);
        int promptTokens = run.getPrompt().split("\\s+").length;
        run.setPrefillTokens(promptTokens - cache.use(run.getPrompt()));
        running.add(run);
      }
      running.removeIf(this::stepRun);
    }
  }

  private boolean stepRun(EngineRun run) {
    if (run.isCancelled()) {
      cancelled++;
      return true;
    }
    long before = run.getOffset();
    boolean isComplete = run.step(settings.prefillTokensPerStep());
    generatedTokens += run.getOffset() - before;
    return isComplete;
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
