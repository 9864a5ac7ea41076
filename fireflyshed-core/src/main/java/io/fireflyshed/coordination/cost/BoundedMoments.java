package io.fireflyshed.coordination.cost;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Holds moments by key. The key that was used least recently is forgotten when there are too many.
 * Not thread safe.
 *
 * @param <K> the type of the keys
 */
final class BoundedMoments<K> {

  private final double minWeight;
  private final Map<K, RunningMoments> moments;

  /**
   * Creates an empty collection.
   *
   * @param maxKeys the most keys
   * @param minWeight the weight of a new sample after many others, 0 to 1
   */
  BoundedMoments(int maxKeys, double minWeight) {
    this.minWeight = minWeight;
    this.moments =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1;

          @Override
          protected boolean removeEldestEntry(Map.Entry<K, RunningMoments> eldest) {
            return size() > maxKeys;
          }
        };
  }

  /** Returns the moments of a key, null if there are none. */
  RunningMoments get(K key) {
    return moments.get(key);
  }

  void add(K key, double sample) {
    moments.computeIfAbsent(key, k -> new RunningMoments(minWeight)).add(sample);
  }

  int size() {
    return moments.size();
  }
}
