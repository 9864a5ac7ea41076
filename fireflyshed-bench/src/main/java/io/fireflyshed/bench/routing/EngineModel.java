package io.fireflyshed.bench.routing;

import io.fireflyshed.coordination.routing.CacheChange;
import io.fireflyshed.coordination.routing.PrefixBlocks;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Models an engine that batches continuously, computes prompts in chunks and caches prefixes. */
final class EngineModel {

  private static final int MAX_BATCH = 32;
  private static final int CHUNK_TOKENS = 512;
  private static final double STEP_NANOS = 8e6;
  private static final double DECODE_NANOS = 0.25e6;

  /** The time to compute one prompt token. */
  static final double PREFILL_NANOS = 0.06e6;

  /** A request in the engine. */
  static final class Job {

    private final SimulatedRequest request;
    private int cachedTokens;
    private int prefillLeft;
    private int produced;

    Job(SimulatedRequest request) {
      this.request = request;
    }

    SimulatedRequest getRequest() {
      return request;
    }

    int getCachedTokens() {
      return cachedTokens;
    }

    int getProduced() {
      return produced;
    }
  }

  private final int cacheBlocks;
  private final double slowness;
  private final Deque<Job> queued = new ArrayDeque<>();
  private final List<Job> running = new ArrayList<>();
  private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private List<CacheChange> changes = new ArrayList<>();
  private long sequence;
  private boolean isBusy;

  EngineModel(int cacheBlocks, double slowness) {
    this.cacheBlocks = cacheBlocks;
    this.slowness = slowness;
  }

  void add(SimulatedRequest request) {
    queued.add(new Job(request));
  }

  boolean isBusy() {
    return isBusy;
  }

  int getActive() {
    return queued.size() + running.size();
  }

  /** Starts a step and gets its duration, or 0 if there is nothing to do. */
  long startStep() {
    while (running.size() < MAX_BATCH && !queued.isEmpty()) {
      Job job = queued.poll();
      job.cachedTokens = getCachedTokens(job.request.blocks());
      job.prefillLeft = job.request.tokens() - job.cachedTokens;
      running.add(job);
    }
    isBusy = !running.isEmpty();
    if (!isBusy) {
      return 0;
    }
    int chunk = 0;
    int decoding = 0;
    for (Job job : running) {
      int part = Math.min(job.prefillLeft, CHUNK_TOKENS - chunk);
      decoding += job.prefillLeft == 0 ? 1 : 0;
      job.prefillLeft -= part;
      chunk += part;
    }
    double nanos = STEP_NANOS + decoding * DECODE_NANOS + chunk * PREFILL_NANOS;
    return (long) (nanos * slowness);
  }

  /** Ends a step and gets the requests that received a token in it. */
  List<Job> endStep() {
    List<Job> received = new ArrayList<>();
    for (Iterator<Job> i = running.iterator(); i.hasNext(); ) {
      Job job = i.next();
      if (job.prefillLeft > 0) {
        continue;
      }
      if (job.produced == 0) {
        store(job.request.blocks());
      }
      job.produced++;
      received.add(job);
      if (job.produced == job.request.outputTokens()) {
        i.remove();
      }
    }
    return received;
  }

  /** Gets the number of leading tokens in the cache, without using them. */
  int getCachedTokens(long[] blocks) {
    int cached = 0;
    while (cached < blocks.length && cache.containsKey(blocks[cached])) {
      cached++;
    }
    return cached * PrefixBlocks.BLOCK_TOKENS;
  }

  /** Gets the time to the first token of a new request, from the true state. */
  double getExpectedNanos(long[] blocks, int tokens) {
    double ahead = tokens - getCachedTokens(blocks);
    int outputLeft = 0;
    for (Job job : running) {
      ahead += job.prefillLeft;
      outputLeft += job.request.outputTokens() - job.produced;
    }
    for (Job job : queued) {
      ahead += job.request.tokens() - getCachedTokens(job.request.blocks());
    }
    double steps = 1 + ahead / CHUNK_TOKENS;
    int over = running.size() + queued.size() + 1 - MAX_BATCH;
    if (over > 0) {
      steps += over * (double) outputLeft / MAX_BATCH / MAX_BATCH;
    }
    double stepNanos = STEP_NANOS + running.size() * DECODE_NANOS;
    return slowness * (ahead * PREFILL_NANOS + steps * stepNanos);
  }

  /** Takes the changes of the cache since the last call. */
  List<CacheChange> takeChanges() {
    List<CacheChange> taken = changes;
    changes = new ArrayList<>();
    return taken;
  }

  private void store(long[] blocks) {
    for (long block : blocks) {
      if (cache.put(block, Boolean.TRUE) == null) {
        changes.add(new CacheChange(++sequence, block, true));
      }
    }
    Iterator<Long> oldest = cache.keySet().iterator();
    List<Long> evicted = new ArrayList<>();
    while (cache.size() - evicted.size() > cacheBlocks) {
      evicted.add(oldest.next());
    }
    for (Long block : evicted) {
      cache.remove(block);
      changes.add(new CacheChange(++sequence, block, false));
    }
  }
}
