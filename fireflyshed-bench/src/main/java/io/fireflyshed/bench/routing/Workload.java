package io.fireflyshed.bench.routing;

import io.fireflyshed.coordination.routing.PrefixBlocks;
import io.fireflyshed.coordination.routing.RouteRequest;
import io.fireflyshed.state.replica.ServiceName;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/** Makes requests of conversations that share templates and grow by each turn. */
final class Workload {

  static final ServiceName SERVICE = new ServiceName("cards");

  private static final int TEMPLATES = 40;
  private static final int MIN_TEMPLATE_TOKENS = 400;
  private static final int MAX_TEMPLATE_TOKENS = 1_600;
  private static final double NEW_SESSION = 0.3;
  private static final int MAX_TURNS = 5;
  private static final int MAX_SESSIONS = 3_000;
  private static final int MAX_TURN_TOKENS = 300;
  private static final int MIN_OUTPUT_TOKENS = 20;
  private static final int MAX_OUTPUT_TOKENS = 180;

  /** A conversation. */
  static final class Session {

    private final StringBuilder text = new StringBuilder();
    private int tokens;
    private int turns;

    private void append(String prefix, int count) {
      for (int i = 0; i < count; i++) {
        text.append(prefix).append(i).append(' ');
      }
      tokens += count;
    }
  }

  private final UniformRandomProvider rng;
  private final int entries;
  private final int[] templateTokens = new int[TEMPLATES];
  private final List<Session> idle = new ArrayList<>();
  private int created;

  Workload(UniformRandomProvider rng, int entries) {
    this.rng = rng;
    this.entries = entries;
    for (int i = 0; i < TEMPLATES; i++) {
      templateTokens[i] = rng.nextInt(MIN_TEMPLATE_TOKENS, MAX_TEMPLATE_TOKENS);
    }
  }

  SimulatedRequest next(long nowNanos) {
    boolean isNew = idle.isEmpty() || rng.nextDouble() < NEW_SESSION;
    Session session = isNew ? newSession() : takeIdle();
    session.append("q" + created++ + "_", rng.nextInt(MAX_TURN_TOKENS / 10, MAX_TURN_TOKENS));
    session.turns++;
    String prompt = session.text.toString();
    return new SimulatedRequest(
        session,
        new RouteRequest(SERVICE, prompt, Set.of()),
        PrefixBlocks.of(prompt),
        session.tokens,
        rng.nextInt(MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS),
        rng.nextInt(entries),
        nowNanos);
  }

  /** Takes in that a request was answered; its conversation may go on. */
  void onAnswered(SimulatedRequest request) {
    if (request.session().turns < MAX_TURNS) {
      idle.add(request.session());
    }
    if (idle.size() > MAX_SESSIONS) {
      takeIdle();
    }
  }

  private Session newSession() {
    int template = (int) (TEMPLATES * Math.pow(rng.nextDouble(), 2));
    Session session = new Session();
    session.append("t" + template + "_", templateTokens[template]);
    return session;
  }

  private Session takeIdle() {
    int i = rng.nextInt(idle.size());
    Session session = idle.get(i);
    idle.set(i, idle.get(idle.size() - 1));
    idle.remove(idle.size() - 1);
    return session;
  }
}
