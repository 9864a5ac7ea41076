package io.fireflyshed.transport.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.protocol.completion.CompletionKind;
import io.fireflyshed.protocol.engine.EngineOrder;
import io.fireflyshed.protocol.engine.EngineRequest;
import io.fireflyshed.protocol.engine.LoadReport;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.protocol.engine.StreamChunk;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;

/** Tests {@link LossReportingEngine}. */
public class LossReportingEngineTest {

  private static final InstanceId HEAD = new InstanceId("i1");

  /** An engine that fails every request with the same error. */
  private record FailingEngine(RuntimeException error) implements ModelEngine {

    @Override
    public CompletableFuture<MemberHealth> probe(InstanceRecord instance) {
      return CompletableFuture.failedFuture(error);
    }

    @Override
    public CompletableFuture<LoadReport> readLoad(InstanceRecord instance) {
      return CompletableFuture.failedFuture(error);
    }

    @Override
    public CompletableFuture<Void> order(InstanceRecord instance, EngineOrder order) {
      return CompletableFuture.failedFuture(error);
    }

    @Override
    public Flux<StreamChunk> stream(EngineRequest request) {
      return Flux.error(error);
    }
  }

  private static EngineRequest newRequest() {
    InstanceRecord head =
        new InstanceRecord(
            HEAD,
            InetSocketAddress.createUnresolved("127.0.0.1", 1),
            new AvailabilityZone("a"),
            new FabricDomain("d"),
            8,
            false,
            Optional.empty());
    Assignment replica =
        new Assignment(new ReplicaId("r1"), new ServiceName("cards"), 1, List.of(head));
    return new EngineRequest("a-1", "a", replica, CompletionKind.TEXT, "{}", 0, Map.of());
  }

  private static List<InstanceId> collectReported(RuntimeException error) {
    List<InstanceId> reported = new ArrayList<>();
    ModelEngine engine = new LossReportingEngine(new FailingEngine(error), reported::add);
    assertThrows(error.getClass(), () -> engine.stream(newRequest()).blockLast());
    return reported;
  }

  @Test
  public void reportsTheHeadOfALostReplica() {
    RuntimeException lost =
        new TargetLostException("stream", "engine", Outcome.RAN, "connection reset", null);
    assertEquals(collectReported(lost), List.of(HEAD));
  }

  @Test
  public void doesNotReportARefusedRequest() {
    RuntimeException refused =
        new AttemptException("stream", "engine", Outcome.NOT_RUN, "status 503", null);
    assertEquals(collectReported(refused), List.of());
  }
}
