package io.fireflyshed.transport.desk;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.routing.TargetPicker;
import io.fireflyshed.protocol.desk.DeskReply;
import io.fireflyshed.protocol.desk.PlainService;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.ServiceName;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests {@link HedgedLookup}. */
public class HedgedLookupTest {

  private static final AvailabilityZone ZONE = new AvailabilityZone("a");
  private static final List<InstanceRecord> TARGETS = List.of(newTarget("i1"), newTarget("i2"));
  private static final DeskReply REPLY = new DeskReply(200, "{}");

  private final Map<InstanceId, CompletableFuture<DeskReply>> calls = new LinkedHashMap<>();

  private static InstanceRecord newTarget(String id) {
    return new InstanceRecord(
        new InstanceId(id),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        ZONE,
        new FabricDomain("d"),
        0,
        false,
        Optional.of(new ServiceName("desk")));
  }

  private CompletableFuture<DeskReply> lookup(Duration hedgeDelay) {
    calls.clear();
    PlainService service =
        (PlainService)
            Proxy.newProxyInstance(
                PlainService.class.getClassLoader(),
                new Class<?>[] {PlainService.class},
                (proxy, method, args) -> {
                  CompletableFuture<DeskReply> call = new CompletableFuture<>();
                  synchronized (calls) {
                    calls.put(((InstanceRecord) args[0]).id(), call);
                    calls.notifyAll();
                  }
                  return call;
                });
    return new HedgedLookup(service, new TargetPicker(ZONE), new ManualClock(), hedgeDelay)
        .lookup(TARGETS, "key");
  }

  private CompletableFuture<DeskReply> awaitCall(int targetIndex) throws InterruptedException {
    synchronized (calls) {
      while (!calls.containsKey(TARGETS.get(targetIndex).id())) {
        calls.wait();
      }
      return calls.get(TARGETS.get(targetIndex).id());
    }
  }

  @Test(timeOut = 10_000)
  public void sendsToTheNextTargetWhenTheFirstIsLate() throws Exception {
    CompletableFuture<DeskReply> response = lookup(Duration.ofMillis(1));
    awaitCall(1).complete(REPLY);
    assertEquals(response.get(5, TimeUnit.SECONDS), REPLY);
  }

  @Test
  public void sendsToTheNextTargetAtOnceWhenTheFirstFails() throws Exception {
    CompletableFuture<DeskReply> response = lookup(Duration.ofHours(1));
    awaitCall(0).completeExceptionally(new IllegalStateException("down"));
    awaitCall(1).complete(REPLY);
    assertEquals(response.join(), REPLY);
  }

  @Test
  public void failsWhenAllTargetsFail() throws Exception {
    CompletableFuture<DeskReply> response = lookup(Duration.ofHours(1));
    awaitCall(0).completeExceptionally(new IllegalStateException("down"));
    awaitCall(1).completeExceptionally(new IllegalStateException("down"));
    assertTrue(response.isCompletedExceptionally());
  }
}
