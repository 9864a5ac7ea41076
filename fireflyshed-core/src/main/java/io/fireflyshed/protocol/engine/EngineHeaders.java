package io.fireflyshed.protocol.engine;

/** Names the HTTP headers between entries and targets. */
public final class EngineHeaders {

  /** Carries the id of an attempt, which a cancel names. */
  public static final String ATTEMPT = "x-fireflyshed-attempt";

  /** Carries the replica for which an attempt is meant. */
  public static final String REPLICA = "x-fireflyshed-replica";

  /** Carries the generation for which an attempt is meant. */
  public static final String GENERATION = "x-fireflyshed-generation";

  /** Carries the offset in tokens at which a stream starts. */
  public static final String OFFSET = "x-fireflyshed-offset";

  /** Carries the target's own word on whether it ran a request that it refused. */
  public static final String OUTCOME = "x-fireflyshed-outcome";

  /** Carries the id that the caller sees on the whole answer. */
  public static final String REQUEST = "x-request-id";

  private EngineHeaders() {}
}
