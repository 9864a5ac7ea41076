package io.fireflyshed.state.replica;

import java.util.Objects;

/**
 * Makes and reads the names of replicas.
 *
 * <p>A name carries the model, so that a coordinator that takes over learns from the members'
 * reports alone which replicas there are.
 */
public final class ReplicaNameUtils {

  private static final char SEPARATOR = '.';

  private ReplicaNameUtils() {}

  /**
   * Makes the name of a replica.
   *
   * @param model the model, not null
   * @param generation the generation at which the replica was formed
   * @return the name, never null
   */
  public static ReplicaId newId(String model, long generation) {
    return new ReplicaId(Objects.requireNonNull(model, "model") + SEPARATOR + generation);
  }

  /**
   * Reads the model from a name.
   *
   * @param id the name, not null
   * @return the model, empty if another party made the name, never null
   */
  public static String getModel(ReplicaId id) {
    int separator = id.value().lastIndexOf(SEPARATOR);
    return separator < 0 ? "" : id.value().substring(0, separator);
  }
}
