package io.fireflyshed.transport.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.evacuation.EvacuatedZones;
import io.fireflyshed.coordination.warmup.ColdBounds;
import io.fireflyshed.coordination.warmup.ColdTargets;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.target.TargetChanges;
import io.fireflyshed.state.target.TargetRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ColdTargetRegistry}. */
public class ColdTargetRegistryTest {

  private static final InstanceId ID = new InstanceId("t1");

  private CompletableFuture<TargetChanges> result;
  private SimpleMeterRegistry metrics;
  private ColdTargetRegistry registry;

  /** Creates a registry without a result. */
  @BeforeMethod
  public void setUp() {
    result = new CompletableFuture<>();
    metrics = new SimpleMeterRegistry();
    ColdTargets cold =
        new ColdTargets(
            new ColdBounds(1, 0), s -> Optional.empty(), new EvacuatedZones(), new ManualClock());
    TargetRegistry source =
        new TargetRegistry() {
          @Override
          public CompletableFuture<TargetChanges> readAll() {
            return result;
          }

          @Override
          public CompletableFuture<TargetChanges> readChanges(long version) {
            return result;
          }
        };
    registry = new ColdTargetRegistry(source, cold, metrics);
  }

  private double countCold() {
    return metrics.get("fireflyshed.cold.targets").gauge().value();
  }

  private TargetChanges read(boolean isWhole, Duration coldTime) {
    Target target =
        new Target(
            ID,
            new ServiceName("s"),
            InetSocketAddress.createUnresolved("127.0.0.1", 1),
            new AvailabilityZone("a"),
            false,
            1,
            1,
            Optional.empty());
    TargetChanges changes =
        new TargetChanges(1, isWhole, List.of(target), Set.of(), Map.of(ID, coldTime));
    result = CompletableFuture.completedFuture(changes);
    assertSame((isWhole ? registry.readAll() : registry.readChanges(0)).join(), changes);
    return changes;
  }

  @Test
  public void coldTargetsAreCountedAndResultsArePassedOn() {
    read(true, Duration.ofSeconds(1));
    assertEquals(countCold(), 1.0);
    read(false, Duration.ZERO);
    assertEquals(countCold(), 0.0);
  }

  @Test(expectedExceptions = CompletionException.class)
  public void failedReadChangesNothing() {
    read(true, Duration.ofSeconds(1));
    result = CompletableFuture.failedFuture(new IllegalStateException("down"));
    assertTrue(registry.readAll().isCompletedExceptionally());
    assertEquals(countCold(), 1.0);
    registry.readChanges(1).join();
  }
}
