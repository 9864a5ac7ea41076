package io.fireflyshed.transport.peer;

import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.coordination.placement.FleetLoad.TargetRequests;
import io.fireflyshed.coordination.placement.LoadReport;
import io.fireflyshed.coordination.placement.PoolDemand;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.traffic.Rank;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Converts the loads that entries tell each other to frames and back.
 *
 * <p>Methods that read a frame throw an {@link IllegalArgumentException} if a field is invalid.
 */
final class LoadFrameUtils {

  private LoadFrameUtils() {}

  static PeerProto.Frame toQuestion(long id, FleetLoad own, boolean isZone) {
    PeerProto.LoadQuestion.Builder body = PeerProto.LoadQuestion.newBuilder().setIsZone(isZone);
    own.loads().forEach((target, load) -> body.addLoads(toMessage(target, load)));
    own.demands().forEach((key, demand) -> body.addDemands(toMessage(key, demand)));
    return PeerProto.Frame.newBuilder().setRequest(id).setLoadQuestion(body).build();
  }

  static LoadReport fromQuestion(PeerId sender, PeerProto.LoadQuestion message) {
    return new LoadReport(
        sender,
        fromMessages(message.getLoadsList(), 1, message.getDemandsList()),
        message.getIsZone());
  }

  static PeerProto.Frame toAnswer(long id, FleetLoad load) {
    PeerProto.LoadAnswer.Builder body =
        PeerProto.LoadAnswer.newBuilder().setEntries(load.entries());
    load.loads().forEach((target, requests) -> body.addLoads(toMessage(target, requests)));
    load.demands().forEach((key, demand) -> body.addDemands(toMessage(key, demand)));
    return PeerProto.Frame.newBuilder().setRequest(id).setLoadAnswer(body).build();
  }

  static FleetLoad fromAnswer(PeerProto.LoadAnswer message) {
    return fromMessages(message.getLoadsList(), message.getEntries(), message.getDemandsList());
  }

  private static PeerProto.TargetLoad toMessage(InstanceId target, TargetRequests load) {
    PeerProto.TargetLoad.Builder message =
        PeerProto.TargetLoad.newBuilder()
            .setTarget(target.value())
            .setInFlight(load.inFlight())
            .setStartsPerSecond((float) load.startsPerSecond())
            .setSilentEntries(load.silentEntries())
            .setResponsiveEntries(load.responsiveEntries());
    load.workMillis().ifPresent(work -> message.setWorkMs((float) work));
    return message.build();
  }

  private static PeerProto.PoolDemand toMessage(PoolDemand.Key key, PoolDemand demand) {
    return PeerProto.PoolDemand.newBuilder()
        .setPool(key.pool())
        .setRank(key.rank().value())
        .setArrivalsPerSecond((float) demand.arrivalsPerSecond())
        .setWorkMsPerSecond((float) demand.workMillisPerSecond())
        .setRefusalsPerSecond((float) demand.refusalsPerSecond())
        .setWaiting(demand.waiting())
        .build();
  }

  private static FleetLoad fromMessages(
      List<PeerProto.TargetLoad> messages, int entries, List<PeerProto.PoolDemand> demandMessages) {
    Map<InstanceId, TargetRequests> loads = new HashMap<>();
    for (PeerProto.TargetLoad message : messages) {
      loads.put(
          new InstanceId(message.getTarget()),
          new TargetRequests(
              message.getInFlight(),
              message.getStartsPerSecond(),
              message.getSilentEntries(),
              message.getResponsiveEntries(),
              message.hasWorkMs()
                  ? OptionalDouble.of(message.getWorkMs())
                  : OptionalDouble.empty()));
    }
    Map<PoolDemand.Key, PoolDemand> demands = new HashMap<>();
    for (PeerProto.PoolDemand message : demandMessages) {
      demands.put(
          new PoolDemand.Key(message.getPool(), new Rank(message.getRank())),
          new PoolDemand(
              message.getArrivalsPerSecond(),
              message.getWorkMsPerSecond(),
              message.getRefusalsPerSecond(),
              message.getWaiting()));
    }
    return new FleetLoad(loads, entries, demands);
  }
}
