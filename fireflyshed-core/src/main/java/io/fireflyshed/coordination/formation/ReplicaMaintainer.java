package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.MembershipPhase;
import io.fireflyshed.state.traffic.EngineProfile;
import java.time.Duration;
import java.util.Optional;

/**
 * Opens replicas whose members are ready and dissolves those that lost a member. Not thread safe.
 */
final class ReplicaMaintainer {

  /** How much longer than expected a replica may take to open before the order is repeated. */
  private static final Duration OPEN_MARGIN = Duration.ofMillis(300);

  private final FormationSettings settings;
  private final FormationState state;

  ReplicaMaintainer(FormationSettings settings, FormationState state) {
    this.settings = settings;
    this.state = state;
  }

  /**
   * Takes the next step for a replica: opens it once its members are ready, closes it if one is
   * leaving or the head is unlisted, and dissolves it if one is lost.
   */
  void advance(ReplicaState replica, long nowNanos, OrderBatch orders) {
    // The head of a predecessor's replica may report later than other members.
    if (replica.getHead() == null && !state.haveAllReported()) {
      return;
    }
    Optional<EngineState> head = state.getEngine(replica.getHead());
    if (head.isEmpty() || head.get().isLost()) {
      orderSurvivorsToLeave(replica, orders);
      return;
    }
    EngineState engine = head.get();
    if (!engine.hasReport()) {
      return;
    }
    Optional<Membership> membership = engine.getMembership().filter(replica::matches);
    if (membership.isEmpty()) {
      if (replica.getStage() != ReplicaState.Stage.FORMING) {
        replica.setStage(ReplicaState.Stage.DISSOLVING);
      } else if (isJoinPending(replica, engine)) {
        repeatJoin(replica, engine, orders);
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

  /**
   * Orders the members of a replica whose head is lost to leave, which stops a head that is still
   * running but can't be reached.
   */
  private void orderSurvivorsToLeave(ReplicaState replica, OrderBatch orders) {
    replica.setStage(ReplicaState.Stage.DISSOLVING);
    for (InstanceId id : replica.getMembers()) {
      Optional<EngineState> member = state.getEngine(id).filter(EngineState::isOrderable);
      if (member.flatMap(EngineState::getMembership).filter(replica::matches).isPresent()) {
        EngineOrder leave = new EngineOrder.Leave(replica.getId(), replica.getGeneration());
        orders.add(
            FormationOrder.of(member.get(), leave, "head " + replica.getHead() + " is lost"));
      }
    }
  }

  /** Tests whether an engine has not joined a replica that this planner forms but still can. */
  private boolean isJoinPending(ReplicaState replica, EngineState engine) {
    return engine.isOrderable()
        && !state.isInLiveReplica(engine)
        && replica.isSameIncarnation(engine.getTarget().id(), engine.getStartMillis());
  }

  /**
   * Repeats a join that took no effect, once no replica holds the engine. If the first join is only
   * delayed, the order sequence lets just one of the two take effect, unless the engine restarted
   * and counts its orders from zero again.
   */
  private void repeatJoin(ReplicaState replica, EngineState engine, OrderBatch orders) {
    if (!state.isReleased(engine)) {
      return;
    }
    EngineOrder join =
        new EngineOrder.Join(
            replica.getId(), replica.getGeneration(), replica.getModel(), replica.getMembers());
    orders.add(FormationOrder.of(engine, join, "repeating a join that took no effect"));
  }

  private void advanceForming(
      ReplicaState replica, EngineState head, long nowNanos, OrderBatch orders) {
    if (replica.getStage() == ReplicaState.Stage.CLOSING
        || replica.getStage() == ReplicaState.Stage.DISSOLVING) {
      dissolve(replica, head, "the replica is closed", orders);
      return;
    }
    Optional<String> dissolveReason = findDissolveReason(replica, true);
    if (dissolveReason.isPresent()) {
      dissolve(replica, head, dissolveReason.get(), orders);
      return;
    }
    replica.getMembers().stream()
        .map(state::getEngine)
        .flatMap(Optional::stream)
        .filter(e -> isJoinPending(replica, e))
        .forEach(e -> repeatJoin(replica, e, orders));
    if (nowNanos - replica.getStartNanos() > settings.formTimeout().toNanos()) {
      dissolve(replica, head, "the replica did not form within the timeout", orders);
      return;
    }
    if (isOpening(replica, nowNanos)) {
      return;
    }
    if (head.isOrderable() && areAllMembersReady(replica)) {
      replica.recordOpenOrder(nowNanos);
      orders.add(FormationOrder.of(head, newOpenOrder(replica), "all members are ready"));
    }
  }

  /** Tests whether the head was ordered to open so recently that it may still do so. */
  boolean isOpening(ReplicaState replica, long nowNanos) {
    EngineProfile profile = state.getProfile();
    Duration openTimeout = profile.openTime().plus(profile.reportLag()).plus(OPEN_MARGIN);
    return replica.isOpening(nowNanos, openTimeout.toNanos());
  }

  private static EngineOrder newOpenOrder(ReplicaState replica) {
    return new EngineOrder.Open(replica.getId(), replica.getGeneration());
  }

  private boolean areAllMembersReady(ReplicaState replica) {
    for (int rank = 0; rank < replica.getMembers().size(); rank++) {
      int expected = rank;
      boolean isReady =
          state
              .getEngine(replica.getMembers().get(rank))
              .filter(e -> !e.isLost())
              .flatMap(EngineState::getMembership)
              .filter(replica::matches)
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
    Optional<String> dissolveReason = findDissolveReason(replica, false);
    if (dissolveReason.isPresent()) {
      dissolve(replica, head, dissolveReason.get(), orders);
      return;
    }
    Optional<InstanceId> leaving =
        replica.getMembers().stream()
            .filter(id -> state.getEngine(id).filter(EngineState::isLeaving).isPresent())
            .findFirst();
    if (leaving.isPresent()) {
      close(replica, "member " + leaving.get() + " is leaving", orders);
    } else if (!head.isListed()) {
      close(
          replica,
          "the head is not listed in the registry, so entries can't send it requests",
          orders);
    }
  }

  private void advanceClosing(ReplicaState replica, EngineState head, OrderBatch orders) {
    replica.setStage(ReplicaState.Stage.CLOSING);
    findDissolveReason(replica, false)
        .ifPresent(dissolveReason -> dissolve(replica, head, dissolveReason, orders));
  }

  /** Returns the reason why a replica can't go on, such as a member that is lost or left. */
  private Optional<String> findDissolveReason(ReplicaState replica, boolean isForming) {
    for (InstanceId id : replica.getMembers()) {
      if (id == null) {
        if (state.haveAllReported()) {
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
        return Optional.of("member " + id + " is leaving");
      }
      boolean isMember = member.getMembership().filter(replica::matches).isPresent();
      boolean isJoinExpected =
          isForming && (!member.isOrderable() || isJoinPending(replica, member));
      if (!isMember && !isJoinExpected && member.hasReport()) {
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
