package io.fireflyshed.coordination.routing;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.replica.OpenReplica;
import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/** Selects the candidates for one request in one pass over the open replicas. Not thread safe. */
final class CandidateSet {

  private static final int PREFIX_CANDIDATES = 2;
  private static final int RENDEZVOUS_CANDIDATES = 1;
  private static final int RANDOM_CANDIDATES = 1;

  private final AvailabilityZone zone;
  private final long rendezvousKey;
  private final UniformRandomProvider random;
  private final TopReplicas longestPrefixes = new TopReplicas(PREFIX_CANDIDATES);
  private final TopReplicas highestWeights = new TopReplicas(RENDEZVOUS_CANDIDATES);
  private final TopReplicas localSample = new TopReplicas(RANDOM_CANDIDATES);
  private final TopReplicas remoteSample = new TopReplicas(RANDOM_CANDIDATES);

  CandidateSet(AvailabilityZone zone, long rendezvousKey, UniformRandomProvider random) {
    this.zone = zone;
    this.rendezvousKey = rendezvousKey;
    this.random = random;
  }

  /** Considers a replica that has a number of leading blocks of the prompt in its cache. */
  void add(OpenReplica replica, int cachedBlocks) {
    if (cachedBlocks > 0) {
      longestPrefixes.add(replica, cachedBlocks + random.nextDouble());
    }
    boolean isLocal = replica.assignment().getHead().zone().equals(zone);
    if (isLocal) {
      long weight = mix(rendezvousKey ^ mix(replica.assignment().id().hashCode()));
      highestWeights.add(replica, weight >>> 1);
      localSample.add(replica, random.nextDouble());
    } else {
      remoteSample.add(replica, random.nextDouble());
    }
  }

  /** Gets the selected candidates, which may include replicas in other zones. */
  Set<OpenReplica> get() {
    Set<OpenReplica> candidates = new LinkedHashSet<>();
    longestPrefixes.addTo(candidates);
    highestWeights.addTo(candidates);
    localSample.addTo(candidates);
    remoteSample.addTo(candidates);
    return candidates;
  }

  /** Mixes the bits of a number (the finalizer of SplitMix64; Steele, Lea and Flood, 2014). */
  private static long mix(long value) {
    long z = value + 0x9E3779B97F4A7C15L;
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }

  /** Keeps the replicas with the highest scores. */
  private static final class TopReplicas {

    private final OpenReplica[] replicas;
    private final double[] scores;
    private int count;

    TopReplicas(int size) {
      replicas = new OpenReplica[size];
      scores = new double[size];
    }

    void add(OpenReplica replica, double score) {
      if (count == replicas.length && score <= scores[count - 1]) {
        return;
      }
      int i = count < replicas.length ? count++ : count - 1;
      while (i > 0 && scores[i - 1] < score) {
        replicas[i] = replicas[i - 1];
        scores[i] = scores[i - 1];
        i--;
      }
      replicas[i] = replica;
      scores[i] = score;
    }

    void addTo(Set<OpenReplica> candidates) {
      for (int i = 0; i < count; i++) {
        candidates.add(replicas[i]);
      }
    }
  }
}
