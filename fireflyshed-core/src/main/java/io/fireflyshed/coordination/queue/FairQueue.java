package io.fireflyshed.coordination.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Queues items of several flows and serves flows in proportion to their weights.
 *
 * <p>Flows are served by start-time fair queueing (Goyal, Vin and Cheng, 1996): each item has a
 * start tag, the larger of the virtual time at its arrival and the finish tag of the item before
 * it, and the flow with the smallest start tag is served next. A flow that sends many items waits
 * behind its own items, not in front of those of others. Within a flow the higher priority goes
 * first, then the earlier arrival.
 *
 * <p>Not thread safe.
 *
 * <pre>{@code
 * FairQueue<String> queue = new FairQueue<>();
 * queue.add("large", 1, 0, "first");
 * queue.add("large", 1, 0, "second");
 * queue.add("small", 1, 0, "third");
 * queue.poll(flow -> true); // first
 * queue.poll(flow -> true); // third
 * }</pre>
 *
 * @param <T> the type of the items
 */
public final class FairQueue<T> {

  /**
   * A place in the queue.
   *
   * @param <T> the type of the item
   * @param flow the flow, not null
   * @param priority the priority within the flow, higher is sooner
   * @param sequence the number of the arrival
   * @param item the item, not null
   */
  public record Place<T>(String flow, int priority, long sequence, T item) {}

  private static final Comparator<Place<?>> ORDER =
      Comparator.<Place<?>>comparingInt(p -> -p.priority()).thenComparingLong(Place::sequence);

  private final Map<String, Flow<T>> flows = new HashMap<>();
  private final TreeSet<Flow<T>> backlogged =
      new TreeSet<>(
          Comparator.<Flow<T>>comparingDouble(f -> f.startTag).thenComparing(f -> f.name));
  private double virtualTime;
  private double backloggedWeight;
  private long nextSequence;
  private int size;

  /**
   * Adds an item.
   *
   * @param flow the flow, not null
   * @param weight the weight of the flow, positive; the last one given counts
   * @param priority the priority within the flow, higher is sooner
   * @param item the item, not null
   * @return the place, never null
   */
  public Place<T> add(String flow, double weight, int priority, T item) {
    Objects.requireNonNull(item, "item");
    if (!(weight > 0)) {
      throw new IllegalArgumentException("weight must be positive: " + weight);
    }
    Flow<T> target = flows.computeIfAbsent(flow, Flow::new);
    Place<T> place = new Place<>(flow, priority, nextSequence++, item);
    if (target.places.isEmpty()) {
      target.weight = weight;
      target.startTag = Math.max(virtualTime, target.finishTag);
      backlogged.add(target);
      backloggedWeight += weight;
    }
    target.places.add(place);
    size++;
    return place;
  }

  /**
   * Takes the next item out.
   *
   * @param isEligible tests whether a flow may be served now, not null
   * @return the place, or empty if no flow that may be served has items
   */
  public Optional<Place<T>> poll(Predicate<String> isEligible) {
    for (Flow<T> flow : backlogged) {
      if (isEligible.test(flow.name)) {
        return Optional.of(serve(flow));
      }
    }
    return Optional.empty();
  }

  /**
   * Takes an item out that was not served.
   *
   * @param place the place, not null
   * @return false if the item is not in the queue any more
   */
  public boolean remove(Place<T> place) {
    Flow<T> flow = flows.get(place.flow());
    if (flow == null || !flow.places.remove(place)) {
      return false;
    }
    size--;
    if (flow.places.isEmpty()) {
      backlogged.remove(flow);
      retire(flow);
    }
    return true;
  }

  /**
   * Gets the last item of the flow that has the most items for its weight.
   *
   * @return the place, or empty if the queue is empty
   */
  public Optional<Place<T>> findLastOfLongest() {
    return backlogged.stream()
        .max(Comparator.comparingDouble(f -> f.places.size() / f.weight))
        .map(f -> f.places.last());
  }

  /**
   * Gets the places of a flow in the order in which they are served.
   *
   * @param flow the flow, not null
   * @return the places, never null
   */
  public List<Place<T>> getPlaces(String flow) {
    Flow<T> found = flows.get(flow);
    return found == null ? List.of() : new ArrayList<>(found.places);
  }

  /**
   * Gets the flows that have items.
   *
   * @return the names, never null
   */
  public List<String> getBacklogged() {
    return backlogged.stream().map(f -> f.name).toList();
  }

  /**
   * Gets the number of items of a flow.
   *
   * @param flow the flow, not null
   * @return the number, 0 or more
   */
  public int getSize(String flow) {
    Flow<T> found = flows.get(flow);
    return found == null ? 0 : found.places.size();
  }

  /**
   * Gets the number of items of a flow that would be served before a new one.
   *
   * @param flow the flow, not null
   * @param priority the priority of the new item
   * @return the number, 0 or more
   */
  public int getAhead(String flow, int priority) {
    Flow<T> found = flows.get(flow);
    if (found == null) {
      return 0;
    }
    return found.places.headSet(new Place<>(flow, priority, nextSequence, null), false).size();
  }

  /**
   * Gets the part of the service that a flow gets while all flows that have items keep them.
   *
   * @param flow the flow, not null
   * @param weight its weight, positive
   * @return the part, above 0 and at most 1
   */
  public double getPart(String flow, double weight) {
    double others =
        getSize(flow) > 0 ? backloggedWeight - flows.get(flow).weight : backloggedWeight;
    return weight / (Math.max(0, others) + weight);
  }

  /**
   * Gets the number of items.
   *
   * @return the number, 0 or more
   */
  public int size() {
    return size;
  }

  private Place<T> serve(Flow<T> flow) {
    backlogged.remove(flow);
    Place<T> place = flow.places.pollFirst();
    size--;
    virtualTime = Math.max(virtualTime, flow.startTag);
    flow.finishTag = flow.startTag + 1 / flow.weight;
    if (flow.places.isEmpty()) {
      retire(flow);
    } else {
      flow.startTag = Math.max(virtualTime, flow.finishTag);
      backlogged.add(flow);
    }
    return place;
  }

  /** Forgets idle flows whose tags lie in the past, so that the memory stays bounded. */
  private void retire(Flow<T> idle) {
    backloggedWeight = backlogged.isEmpty() ? 0 : backloggedWeight - idle.weight;
    flows.values().removeIf(f -> f.places.isEmpty() && f.finishTag <= virtualTime);
  }

  private static final class Flow<T> {

    private final String name;
    private final TreeSet<Place<T>> places = new TreeSet<>(ORDER);
    private double weight = 1;
    private double startTag;
    private double finishTag;

    Flow(String name) {
      this.name = name;
    }
  }
}
