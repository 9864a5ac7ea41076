package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.EngineReport;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.MembershipPhase;
import io.fireflyshed.state.target.OrderReply;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.ModelProfile;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Simulates an engine that takes time for its steps and checks orders as a real one does. */
final class SimulatedEngine {

  static final ServiceName SERVICE = new ServiceName("assistant");
  static final AvailabilityZone ZONE = new AvailabilityZone("a");
  private static final long REJOIN_TIME_MILLIS = 200;
  private static final long OPEN_TIME_MILLIS = 300;

  final InstanceId id;
  final String domain;
  final Set<String> staged = new LinkedHashSet<>();
  private final TreeMap<Long, EngineReport> history = new TreeMap<>();
  boolean isAlive = true;
  boolean isLeaving;
  long startMillis = 1;
  long sequence;
  long highestFencingToken;

  /** Whether the engine refuses orders with an older fencing token than it saw. */
  boolean isFencingChecked = true;

  long highestGeneration;
  Membership membership;
  List<InstanceId> members = List.of();

  /** The model that the engine joins, or was last ready for. */
  String lastModel = "";

  /** Whether the load under way never ends. */
  boolean isLoadStuck;

  /** The times at which loads of weights began. */
  final List<Long> loadStartMillis = new ArrayList<>();

  /** Whether the engine was ready for that model; a load that is interrupted begins anew. */
  private boolean isLoaded;

  private long readyMillis = Long.MAX_VALUE;
  private long openMillis = Long.MAX_VALUE;
  private long stagedMillis = Long.MAX_VALUE;
  private String stagingModel = "";

  SimulatedEngine(String id, String domain) {
    this.id = new InstanceId(id);
    this.domain = domain;
    record(0);
  }

  Target toTarget() {
    return new Target(
        id,
        SERVICE,
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        ZONE,
        isLeaving,
        18,
        startMillis,
        Optional.ofNullable(membership));
  }

  /** Returns the report as of some time ago. */
  EngineReport report(long nowMillis, long lagMillis) {
    return history.floorEntry(Math.max(0, nowMillis - lagMillis)).getValue();
  }

  void restart(long nowMillis) {
    startMillis = nowMillis + 1;
    sequence = 0;
    highestFencingToken = 0;
    highestGeneration = 0;
    membership = null;
    members = List.of();
    lastModel = "";
    isLoaded = false;
    readyMillis = Long.MAX_VALUE;
    openMillis = Long.MAX_VALUE;
    isAlive = true;
    record(nowMillis);
  }

  void advance(long nowMillis) {
    if (nowMillis >= readyMillis && !isLoadStuck) {
      readyMillis = Long.MAX_VALUE;
      isLoaded = true;
      if (!staged.contains(lastModel)) {
        staged.clear();
        staged.add(lastModel);
      }
      membership = withPhase(MembershipPhase.READY);
    }
    if (nowMillis >= openMillis) {
      openMillis = Long.MAX_VALUE;
      membership = withPhase(MembershipPhase.OPEN);
    }
    if (nowMillis >= stagedMillis) {
      stagedMillis = Long.MAX_VALUE;
      staged.clear();
      staged.add(stagingModel);
    }
    record(nowMillis);
  }

  private Membership withPhase(MembershipPhase phase) {
    return new Membership(membership.replica(), membership.generation(), membership.rank(), phase);
  }

  private void record(long nowMillis) {
    history.put(
        nowMillis,
        new EngineReport(
            startMillis,
            sequence,
            stagedMillis != Long.MAX_VALUE || readyMillis != Long.MAX_VALUE,
            0,
            0,
            0,
            1,
            new FabricDomain(domain),
            staged,
            Optional.ofNullable(membership)));
  }

  OrderReply handleOrder(
      EngineOrder order,
      long fencingToken,
      long expectedSequence,
      List<ModelProfile> models,
      long nowMillis) {
    if (isFencingChecked && fencingToken < highestFencingToken) {
      return OrderReply.FENCED;
    }
    highestFencingToken = fencingToken;
    if (expectedSequence != sequence) {
      return OrderReply.CONFLICT;
    }
    OrderReply reply = apply(order, models, nowMillis);
    boolean hasLeft = reply == OrderReply.HOLDS && order instanceof EngineOrder.Leave;
    if (reply == OrderReply.BEGUN || hasLeft) {
      sequence++;
    }
    record(nowMillis);
    return reply;
  }

  private OrderReply apply(EngineOrder order, List<ModelProfile> models, long nowMillis) {
    if (order instanceof EngineOrder.Join join) {
      return join(join, models, nowMillis);
    }
    if (order instanceof EngineOrder.Stage stage) {
      if (stagedMillis != Long.MAX_VALUE) {
        return OrderReply.CONFLICT;
      }
      stagingModel = stage.model();
      loadStartMillis.add(nowMillis);
      stagedMillis = nowMillis + getModel(models, stagingModel).load().toMillis();
      return OrderReply.BEGUN;
    }
    if (order instanceof EngineOrder.Open open) {
      if (!isMember(open.replica().value(), open.generation())
          || membership.phase() != MembershipPhase.READY) {
        return OrderReply.CONFLICT;
      }
      openMillis = nowMillis + OPEN_TIME_MILLIS;
      return OrderReply.BEGUN;
    }
    if (order instanceof EngineOrder.Close close) {
      if (!isMember(close.replica().value(), close.generation())) {
        return OrderReply.CONFLICT;
      }
      openMillis = Long.MAX_VALUE;
      membership = withPhase(MembershipPhase.READY);
      return OrderReply.BEGUN;
    }
    EngineOrder.Leave leave = (EngineOrder.Leave) order;
    if (!isMember(leave.replica().value(), leave.generation())) {
      return OrderReply.CONFLICT;
    }
    membership = null;
    members = List.of();
    readyMillis = Long.MAX_VALUE;
    openMillis = Long.MAX_VALUE;
    return OrderReply.HOLDS;
  }

  private OrderReply join(EngineOrder.Join join, List<ModelProfile> models, long nowMillis) {
    if (join.generation() < highestGeneration) {
      return OrderReply.FENCED;
    }
    if (isMember(join.replica().value(), join.generation()) && !members.equals(join.members())) {
      return OrderReply.FENCED;
    }
    highestGeneration = join.generation();
    ModelProfile model = getModel(models, join.model());
    isLoadStuck = false;
    isLoaded = isLoaded && lastModel.equals(join.model());
    if (!isLoaded && !staged.contains(join.model())) {
      loadStartMillis.add(nowMillis);
    }
    long millis =
        isLoaded
            ? REJOIN_TIME_MILLIS
            : staged.contains(join.model()) ? model.warmup().toMillis() : model.load().toMillis();
    lastModel = join.model();
    members = join.members();
    membership =
        new Membership(
            join.replica(), join.generation(), members.indexOf(id), MembershipPhase.JOINING);
    readyMillis = nowMillis + millis;
    openMillis = Long.MAX_VALUE;
    return OrderReply.BEGUN;
  }

  private boolean isMember(String replica, long generation) {
    return membership != null
        && membership.replica().value().equals(replica)
        && membership.generation() == generation;
  }

  private static ModelProfile getModel(List<ModelProfile> models, String name) {
    return models.stream().filter(m -> m.name().equals(name)).findFirst().orElseThrow();
  }
}
