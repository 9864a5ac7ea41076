package io.fireflyshed.transport.peer;

import static org.testng.Assert.assertTrue;

import io.fireflyshed.protocol.traffic.LoadSample;
import io.fireflyshed.protocol.traffic.PromptDescriptor;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.traffic.Rank;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.state.traffic.WeightedService;
import io.fireflyshed.transport.forward.CallerLink;
import io.fireflyshed.transport.forward.RelayedRequest;
import io.fireflyshed.transport.forward.ResponsePart;
import io.fireflyshed.transport.forward.RoutedRequest;
import io.fireflyshed.transport.http.HeldBody;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Creates the requests and responses of the tests of relays. */
final class RelayFixtures {

  static final Duration TIMEOUT = Duration.ofSeconds(20);
  static final ServiceName SERVICE = new ServiceName("cards");

  private RelayFixtures() {}

  static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() - deadline < 0, "the condition was not met within " + TIMEOUT);
      Thread.sleep(5);
    }
  }

  /** Lets an entry read nothing for a while, as if it was suspended, once an offer arrives. */
  static CountDownLatch suspendAtNextOffer(RelayEntry entry, Duration time) {
    CountDownLatch started = new CountDownLatch(1);
    entry.admission =
        offer -> {
          started.countDown();
          LockSupport.parkNanos(time.toNanos());
          return Optional.of(Duration.ZERO);
        };
    return started;
  }

  /** Creates bytes that depend on a seed, so that parts of other bodies are noticed. */
  static byte[] newBytes(int length, int seed) {
    byte[] bytes = new byte[length];
    for (int i = 0; i < length; i++) {
      bytes[i] = (byte) (seed * 31 + i * 7 + i / 251);
    }
    return bytes;
  }

  static RelayedRequest newRequest(String id, byte[] body, Duration remaining) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.add("Accept", "one");
    headers.add("Accept", "two");
    headers.add("Authorization", "Bearer secret");
    TrafficRequest request =
        new TrafficRequest(
            id,
            HttpMethod.POST,
            "/r/x?y=%20z",
            "h",
            headers,
            Optional.of("secret"),
            Optional.of(Duration.ofMillis(2500)),
            Optional.of(new PromptDescriptor("m", 10, 20, OptionalInt.empty(), List.of("a", "b"))),
            OptionalLong.of(4));
    Route route =
        new Route(
            "r",
            "h",
            "/r/",
            RequestKind.STREAM,
            Duration.ofSeconds(30),
            Duration.ofMillis(300),
            -1,
            List.of(
                new WeightedService(SERVICE, 3), new WeightedService(new ServiceName("other"), 0)),
            2,
            false,
            true);
    RoutedRequest routed =
        new RoutedRequest(
            request,
            HeldBody.of(body),
            route,
            SERVICE,
            Optional.of("account"),
            Rank.FIRST,
            17,
            0,
            Duration.ofSeconds(30),
            CallerLink.none());
    return new RelayedRequest(
        routed,
        remaining,
        OptionalLong.of(9),
        2,
        Set.of(new InstanceId("t1"), new InstanceId("t2")));
  }

  static RelayedRequest newRequest(String id) {
    return newRequest(id, newBytes(10, 1), Duration.ofSeconds(10));
  }

  static RelayedRequest withExclusions(RelayedRequest request, Set<InstanceId> excludedTargets) {
    return new RelayedRequest(
        request.routed(),
        request.remaining(),
        request.lastEventId(),
        request.maxAttempts(),
        excludedTargets);
  }

  /** Creates a request that no entry has tried at a target. */
  static RelayedRequest newFirstRequest(String id, byte[] body) {
    return withExclusions(newRequest(id, body, Duration.ofSeconds(10)), Set.of());
  }

  static TargetAnswer newAnswer(String requestId) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.add("Set-Cookie", "a=1");
    headers.add("Set-Cookie", "b=2");
    return new TargetAnswer(
        200,
        headers,
        Optional.of(requestId),
        true,
        false,
        Optional.of(new LoadSample(1, 2, 3)),
        OptionalDouble.of(0.5));
  }

  static ResponsePart newHead(String requestId) {
    return new ResponsePart.Head(newAnswer(requestId));
  }

  /** Returns the id of the request to which the head of a response belongs. */
  static String getRequestId(List<ResponsePart> parts) {
    return ((ResponsePart.Head) parts.get(0)).response().requestId().orElseThrow();
  }

  /** Joins the chunks of a response. */
  static byte[] getBody(List<ResponsePart> parts) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (ResponsePart part : parts.subList(1, parts.size())) {
      body.writeBytes(((ResponsePart.BodyChunk) part).bytes());
    }
    return body.toByteArray();
  }
}
