package io.fireflyshed.coordination.routing;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.replica.OpenReplica;
import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/** Collects the candidates of one request in one pass over the open replicas. Not thread safe. */
final class CandidateSet {

  private static final int DEEPEST = 2;
  private static final int HOMES = 1;
  private static final int RANDOM = 1;

  private final AvailabilityZone zone;
  private final long homeKey;
  private final UniformRandomProvider rng;
  private final TopReplicas deepest = new TopReplicas(DEEPEST);
  private final TopReplicas homes = new TopReplicas(HOMES);
  private final TopReplicas localSample = new TopReplicas(RANDOM);
  private final TopReplicas remoteSample = new TopReplicas(RANDOM);

  CandidateSet(AvailabilityZone zone, long homeKey, UniformRandomProvider rng) {
    this.zone = zone;
    this.homeKey = homeKey;
    this.rng = rng;
  }

  /** Takes in a replica that holds a number of leading blocks of the prompt. */
  void add(OpenReplica replica, int depth) {
    if (depth > 0) {
      deepest.add(replica, depth + rng.nextDouble());
    }
    boolean isLocal = replica.assignment().getHead().zone().equals(zone);
    if (isLocal) {
      long weight = mix(homeKey ^ mix(replica.assignment().id().hashCode()));
      homes.add(replica, weight >>> 1);
      localSample.add(replica, rng.nextDouble());
    } else {
      remoteSample.add(replica, rng.nextDouble());
    }
  }

  /** Gets the candidates; other zones are among them, at their cost. */
  Set<OpenReplica> get() {
    Set<OpenReplica> all = new LinkedHashSet<>();
    deepest.addTo(all);
    homes.addTo(all);
    localSample.addTo(all);
    remoteSample.addTo(all);
    return all;
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

    void addTo(Set<OpenReplica> all) {
      for (int i = 0; i < count; i++) {
        all.add(replicas[i]);
      }
    }
  }
}
