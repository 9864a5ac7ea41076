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

  private static final String SPARE = "spare-";

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
   * Makes the name under which a spare engine is kept ready for a model. A spare is the only member
   * and never serves, but it joins a replica of the model much sooner than an idle engine.
   *
   * @param model the model, not null
   * @param generation the generation at which the spare was made
   * @return the name, never null
   */
  public static ReplicaId newSpareId(String model, long generation) {
    return new ReplicaId(Objects.requireNonNull(model, "model") + SEPARATOR + SPARE + generation);
  }

  /**
   * Tests whether a name is that of a spare engine.
   *
   * @param id the name, not null
   * @return true if it was made by {@link #newSpareId}
   */
  public static boolean isSpare(ReplicaId id) {
    return id.value().startsWith(SPARE, id.value().lastIndexOf(SEPARATOR) + 1);
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
