package io.fireflyshed.state.replica;

import java.util.Objects;

/**
 * Creates and parses the ids of replicas.
 *
 * <p>An id contains the model, so that a coordinator that takes over can find out which replicas
 * exist from the reports of their members alone.
 */
public final class ReplicaNameUtils {

  private static final char SEPARATOR = '.';

  private static final String SPARE_PREFIX = "spare-";

  private ReplicaNameUtils() {}

  /**
   * Creates the id of a replica.
   *
   * @param model the model, not null
   * @param generation the generation at which the replica is formed
   * @return the id, never null
   */
  public static ReplicaId newId(String model, long generation) {
    return new ReplicaId(Objects.requireNonNull(model, "model") + SEPARATOR + generation);
  }

  /**
   * Creates the id of a warm spare, an engine that keeps a model loaded. A spare is the only member
   * of its replica and never serves requests, but it can join a replica of the model much sooner
   * than an idle engine.
   *
   * @param model the model, not null
   * @param generation the generation at which the spare is created
   * @return the id, never null
   */
  public static ReplicaId newSpareId(String model, long generation) {
    return new ReplicaId(
        Objects.requireNonNull(model, "model") + SEPARATOR + SPARE_PREFIX + generation);
  }

  /**
   * Tests whether an id belongs to a warm spare.
   *
   * @param id the id, not null
   * @return true if the id has the form that {@link #newSpareId} creates
   */
  public static boolean isSpare(ReplicaId id) {
    return id.value().startsWith(SPARE_PREFIX, id.value().lastIndexOf(SEPARATOR) + 1);
  }

  /**
   * Returns the model that an id contains.
   *
   * @param id the id, not null
   * @return the model, or an empty string if the id contains no separator, as an id from another
   *     source may, never null
   */
  public static String getModel(ReplicaId id) {
    int separatorIndex = id.value().lastIndexOf(SEPARATOR);
    return separatorIndex < 0 ? "" : id.value().substring(0, separatorIndex);
  }
}
