package io.fireflyshed.protocol.engine;

/** The names of the HTTP headers between entry processes and targets. */
public final class EngineHeaders {

  /** The id of an attempt, by which the attempt can be cancelled. */
  public static final String ATTEMPT = "x-fireflyshed-attempt";

  /** The id of the replica that an attempt is addressed to. */
  public static final String REPLICA = "x-fireflyshed-replica";

  /** The generation of the replica that an attempt is addressed to. */
  public static final String GENERATION = "x-fireflyshed-generation";

  /** The offset at which a stream starts, in tokens. */
  public static final String OFFSET = "x-fireflyshed-offset";

  /** Whether the target ran the request that it refused, as stated by the target. */
  public static final String OUTCOME = "x-fireflyshed-outcome";

  /** The id of the caller's request, which the complete response to the caller contains. */
  public static final String REQUEST = "x-request-id";

  private EngineHeaders() {}
}
