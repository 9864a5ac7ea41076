package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.MembershipPhase;
import java.time.Duration;
import java.util.Optional;

/** Opens replicas whose members are ready and ends those that lost one. Not thread safe. */
final class ReplicaMaintainer {

  /** The time by which a replica that opens may be late before it is told again. */
  private static final Duration OPEN_MARGIN = Duration.ofMillis(300);

  private final FormationSettings settings;
  private final FormationState state;

  ReplicaMaintainer(FormationSettings settings, FormationState state) {
    this.settings = settings;
    this.state = state;
  }

  /** Moves a replica on: opens it when it is ready, ends it when it lost a member. */
  void advance(ReplicaState replica, long nowNanos, OrderBatch orders) {
    Optional<EngineState> head = state.getEngine(replica.getHead());
    if (head.isEmpty() || head.get().isLost()) {
      releaseSurvivors(replica, orders);
      return;
    }
    EngineState engine = head.get();
    if (!engine.isKnown()) {
      return;
    }
    Optional<Membership> membership = engine.getMembership().filter(replica::isSame);
    if (membership.isEmpty()) {
      if (replica.getStage() != ReplicaState.Stage.FORMING) {
        replica.setStage(ReplicaState.Stage.DISSOLVING);
      } else if (isJoinPending(replica, engine)) {
        joinAgain(replica, engine, orders);
      } else if (engine.isOrderable()) {
        replica.setStage(ReplicaState.Stage.DISSOLVING);
      }
      return;
    }
    switch (membership.get().phase()) {
      case JOINING, READY -> advanceForming(replica, engine, nowNanos, orders);
      case OPEN -> advanceServing(replica, engine, orders);
      case CLOSING -> advanceClosing(replica, engine, orders);
      case BROKEN -> dissolve(replica, engine, "the replica is broken", orders);
      default -> throw new IllegalStateException("unknown phase");
    }
  }

  /** Lets the members of a replica whose head is lost leave, which stops a head that lives on. */
  private void releaseSurvivors(ReplicaState replica, OrderBatch orders) {
    replica.setStage(ReplicaState.Stage.DISSOLVING);
    for (InstanceId id : replica.getMembers()) {
      Optional<EngineState> member = state.getEngine(id).filter(EngineState::isOrderable);
      if (member.flatMap(EngineState::getMembership).filter(replica::isSame).isPresent()) {
        EngineOrder leave = new EngineOrder.Leave(replica.getId(), replica.getGeneration());
        orders.add(
            FormationOrder.of(member.get(), leave, "head " + replica.getHead() + " is lost"));
      }
    }
  }

  /** Tests whether an engine took no join to a replica that this planner forms, and may still. */
  private boolean isJoinPending(ReplicaState replica, EngineState engine) {
    return engine.isOrderable()
        && !state.isInLiveReplica(engine)
        && replica.isSameLife(engine.getTarget().id(), engine.getStartMillis());
  }

  /**
   * Repeats a join that took no effect, once no replica holds the engine. If the first one is only
   * late, the order sequence makes one of the two void, as long as the engine has not started anew
   * and counts from zero.
   */
  private void joinAgain(ReplicaState replica, EngineState engine, OrderBatch orders) {
    if (!state.isReleased(engine)) {
      return;
    }
    EngineOrder join =
        new EngineOrder.Join(
            replica.getId(), replica.getGeneration(), replica.getModel(), replica.getMembers());
    orders.add(FormationOrder.of(engine, join, "the join took no effect"));
  }

  private void advanceForming(
      ReplicaState replica, EngineState head, long nowNanos, OrderBatch orders) {
    if (replica.getStage() == ReplicaState.Stage.CLOSING
        || replica.getStage() == ReplicaState.Stage.DISSOLVING) {
      dissolve(replica, head, "the replica is closed", orders);
      return;
    }
    Optional<String> defect = findDefect(replica, true);
    if (defect.isPresent()) {
      dissolve(replica, head, defect.get(), orders);
      return;
    }
    replica.getMembers().stream()
        .map(state::getEngine)
        .flatMap(Optional::stream)
        .filter(e -> isJoinPending(replica, e))
        .forEach(e -> joinAgain(replica, e, orders));
    if (nowNanos - replica.getStartNanos() > settings.formTimeout().toNanos()) {
      dissolve(replica, head, "the replica took too long to form", orders);
      return;
    }
    long opening =
        state
            .getProfile()
            .openTime()
            .plus(state.getProfile().reportLag())
            .plus(OPEN_MARGIN)
            .toNanos();
    if (replica.isOpening(nowNanos, opening)) {
      return;
    }
    if (head.isOrderable() && isWholeAndReady(replica)) {
      replica.setOpenOrdered(nowNanos);
      orders.add(FormationOrder.of(head, newOpen(replica), "all members are ready"));
    }
  }

  private static EngineOrder newOpen(ReplicaState replica) {
    return new EngineOrder.Open(replica.getId(), replica.getGeneration());
  }

  private boolean isWholeAndReady(ReplicaState replica) {
    for (int rank = 0; rank < replica.getMembers().size(); rank++) {
      int expected = rank;
      boolean isReady =
          state
              .getEngine(replica.getMembers().get(rank))
              .filter(e -> !e.isLost())
              .flatMap(EngineState::getMembership)
              .filter(replica::isSame)
              .filter(m -> m.phase() == MembershipPhase.READY && m.rank() == expected)
              .isPresent();
      if (!isReady) {
        return false;
      }
    }
    return !replica.getMembers().isEmpty();
  }

  private void advanceServing(ReplicaState replica, EngineState head, OrderBatch orders) {
    if (replica.getStage() == ReplicaState.Stage.DISSOLVING) {
      dissolve(replica, head, "the replica is dissolved", orders);
      return;
    }
    replica.setStage(ReplicaState.Stage.SERVING);
    Optional<String> defect = findDefect(replica, false);
    if (defect.isPresent()) {
      dissolve(replica, head, defect.get(), orders);
      return;
    }
    Optional<InstanceId> leaving =
        replica.getMembers().stream()
            .filter(id -> state.getEngine(id).filter(EngineState::isLeaving).isPresent())
            .findFirst();
    if (leaving.isPresent()) {
      close(replica, "member " + leaving.get() + " leaves", orders);
    } else if (!head.isListed()) {
      close(replica, "the head is not listed, so no entry sends requests", orders);
    }
  }

  private void advanceClosing(ReplicaState replica, EngineState head, OrderBatch orders) {
    replica.setStage(ReplicaState.Stage.CLOSING);
    findDefect(replica, false).ifPresent(defect -> dissolve(replica, head, defect, orders));
  }

  /** Finds a member that is lost or left, which stops the replica for good. */
  private Optional<String> findDefect(ReplicaState replica, boolean isForming) {
    for (InstanceId id : replica.getMembers()) {
      if (id == null) {
        if (state.areAllReported()) {
          return Optional.of("a member is missing");
        }
        continue;
      }
      Optional<EngineState> engine = state.getEngine(id);
      if (engine.isEmpty() || engine.get().isLost()) {
        return Optional.of("member " + id + " is lost");
      }
      EngineState member = engine.get();
      if (isForming && member.isLeaving()) {
        return Optional.of("member " + id + " leaves");
      }
      boolean isIn = member.getMembership().filter(replica::isSame).isPresent();
      boolean isExpected = isForming && (!member.isOrderable() || isJoinPending(replica, member));
      if (!isIn && !isExpected && member.isKnown()) {
        return Optional.of("member " + id + " is no longer in the replica");
      }
    }
    return Optional.empty();
  }

  private void dissolve(ReplicaState replica, EngineState head, String reason, OrderBatch orders) {
    replica.setStage(ReplicaState.Stage.DISSOLVING);
    if (head.isOrderable()) {
      EngineOrder leave = new EngineOrder.Leave(replica.getId(), replica.getGeneration());
      orders.add(FormationOrder.of(head, leave, reason));
    }
  }

  void close(ReplicaState replica, String reason, OrderBatch orders) {
    EngineState head = state.getEngine(replica.getHead()).orElseThrow();
    if (head.isOrderable()) {
      EngineOrder order = new EngineOrder.Close(replica.getId(), replica.getGeneration());
      orders.add(FormationOrder.of(head, order, reason));
      replica.setStage(ReplicaState.Stage.CLOSING);
    }
  }
}
