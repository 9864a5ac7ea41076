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
 * Queues items of several flows and serves the flows in proportion to their weights.
 *
 * <p>Flows are served by start-time fair queueing (Goyal, Vin and Cheng, 1996): each item has a
 * start tag, the larger of the virtual time at its arrival and the finish tag of the item before
 * it, and the flow with the smallest start tag is served next. A flow that sends many items
 * therefore delays its own items rather than those of other flows. Within a flow, items with a
 * higher priority are served first, and those of equal priority in order of arrival.
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
   * A queued item with its position.
   *
   * @param <T> the type of the item
   * @param flow the flow, not null
   * @param priority the priority within the flow; higher priorities are served first
   * @param sequence the number of the arrival, which increases with each added item
   * @param item the item, not null
   */
  public record Place<T>(String flow, int priority, long sequence, T item) {}

  private static final Comparator<Place<?>> SERVICE_ORDER =
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
   * @param weight the weight of the flow, positive; it takes effect if the flow has no items
   * @param priority the priority within the flow; higher priorities are served first
   * @param item the item, not null
   * @return the place of the item, never null
   */
  public Place<T> add(String flow, double weight, int priority, T item) {
    Objects.requireNonNull(item, "item");
    if (!(weight > 0)) {
      throw new IllegalArgumentException("weight must be positive: " + weight);
    }
    Flow<T> queuedFlow = flows.computeIfAbsent(flow, Flow::new);
    Place<T> place = new Place<>(flow, priority, nextSequence++, item);
    if (queuedFlow.places.isEmpty()) {
      queuedFlow.weight = weight;
      queuedFlow.startTag = Math.max(virtualTime, queuedFlow.finishTag);
      backlogged.add(queuedFlow);
      backloggedWeight += weight;
    }
    queuedFlow.places.add(place);
    size++;
    return place;
  }

  /**
   * Removes and returns the next item.
   *
   * @param isEligible tests whether a flow may be served now, not null
   * @return the place, or empty if no eligible flow has items
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
   * Removes an item that was not served.
   *
   * @param place the place of the item, not null
   * @return whether the item was still in the queue
   */
  public boolean remove(Place<T> place) {
    Flow<T> flow = flows.get(place.flow());
    if (flow == null || !flow.places.remove(place)) {
      return false;
    }
    size--;
    if (flow.places.isEmpty()) {
      backlogged.remove(flow);
      removeIdleFlows(flow);
    }
    return true;
  }

  /**
   * Finds the item that would be served last of the flow with the most items for its weight.
   *
   * @return the place, or empty if the queue is empty
   */
  public Optional<Place<T>> findLastOfLongest() {
    return backlogged.stream()
        .max(Comparator.comparingDouble(f -> f.places.size() / f.weight))
        .map(f -> f.places.last());
  }

  /**
   * Returns the places of a flow in the order in which they would be served.
   *
   * @param flow the flow, not null
   * @return a copy, never null
   */
  public List<Place<T>> getPlaces(String flow) {
    Flow<T> found = flows.get(flow);
    return found == null ? List.of() : new ArrayList<>(found.places);
  }

  /**
   * Returns the flows that have items.
   *
   * @return the names of the flows, never null
   */
  public List<String> getBacklogged() {
    return backlogged.stream().map(f -> f.name).toList();
  }

  /**
   * Returns the number of items of a flow.
   *
   * @param flow the flow, not null
   * @return the number, 0 or more
   */
  public int getSize(String flow) {
    Flow<T> found = flows.get(flow);
    return found == null ? 0 : found.places.size();
  }

  /**
   * Counts the items of a flow that would be served before a new one.
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
   * Returns the share of the service that a flow gets as long as all flows that have items keep
   * having some.
   *
   * @param flow the flow, not null
   * @param weight the weight of the flow, positive
   * @return the share, above 0 and at most 1
   */
  public double getPart(String flow, double weight) {
    double otherWeight =
        getSize(flow) > 0 ? backloggedWeight - flows.get(flow).weight : backloggedWeight;
    return weight / (Math.max(0, otherWeight) + weight);
  }

  /**
   * Returns the number of items of all flows.
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
      removeIdleFlows(flow);
    } else {
      flow.startTag = Math.max(virtualTime, flow.finishTag);
      backlogged.add(flow);
    }
    return place;
  }

  /** Removes idle flows whose finish tag has passed, so that the memory stays bounded. */
  private void removeIdleFlows(Flow<T> idle) {
    backloggedWeight = backlogged.isEmpty() ? 0 : backloggedWeight - idle.weight;
    flows.values().removeIf(f -> f.places.isEmpty() && f.finishTag <= virtualTime);
  }

  private static final class Flow<T> {

    private final String name;
    private final TreeSet<Place<T>> places = new TreeSet<>(SERVICE_ORDER);
    private double weight = 1;
    private double startTag;
    private double finishTag;

    Flow(String name) {
      this.name = name;
    }
  }
}
