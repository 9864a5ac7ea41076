package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.placement.EntrySchedule;
import io.fireflyshed.coordination.poison.RequestFingerprints;
import io.fireflyshed.protocol.traffic.PromptDescriptor;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.Rank;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.state.traffic.WeightedService;
import io.fireflyshed.transport.http.HeldBody;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import reactor.core.publisher.Mono;

/** Creates the targets, routes, requests and responses of the tests of {@link Forwarder}. */
final class ForwardFixtures {

  static final ServiceName SERVICE = new ServiceName("cards");
  static final AvailabilityZone ZONE = new AvailabilityZone("a");
  static final int MAX_ATTEMPTS = 2;
  private static final int SLOTS = 8;
  private static final String MODEL = "m";

  private ForwardFixtures() {}

  static Target newTarget(String id) {
    return newTarget(id, InetSocketAddress.createUnresolved("127.0.0.1", 1));
  }

  static Target newTarget(String id, InetSocketAddress address) {
    return new Target(
        new InstanceId(id), SERVICE, address, ZONE, false, SLOTS, 1, Optional.empty());
  }

  /** Creates a view in which each target also counts as the head of a replica of every model. */
  static TargetView newView(List<Target> targets, BooleanSupplier isRead) {
    return new TargetView() {
      @Override
      public boolean isRead() {
        return isRead.getAsBoolean();
      }

      @Override
      public List<Target> getTargets(ServiceName service) {
        return targets;
      }

      @Override
      public List<Target> getHeads(ServiceName service, String model) {
        return targets;
      }
    };
  }

  /** Records interruptions and refuses requests after a number of them. */
  static final class FakeCrashGuard implements CrashGuard {
    private final int maxInterruptions;
    private int interruptions;
    private int successes;
    private CrashTrial trial = CrashTrial.none();

    FakeCrashGuard(int maxInterruptions) {
      this.maxInterruptions = maxInterruptions;
    }

    /** Grants a trial to the next refused request. */
    void grantTrial(CrashTrial granted) {
      trial = granted;
    }

    @Override
    public Mono<CrashTrial> requestTrial(RequestFingerprints request) {
      return Mono.fromSupplier(() -> trial);
    }

    int getInterruptions() {
      return interruptions;
    }

    int getSuccesses() {
      return successes;
    }

    @Override
    public Optional<Duration> getRefusal(RequestFingerprints request) {
      return interruptions < maxInterruptions
          ? Optional.empty()
          : Optional.of(Duration.ofMinutes(1));
    }

    @Override
    public void onInterrupted(RequestFingerprints request, Target target) {
      interruptions++;
    }

    @Override
    public void onSuccess(RequestFingerprints request) {
      successes++;
    }
  }

  /** Creates a guard that refuses no request. */
  static FakeCrashGuard newCrashGuard() {
    return new FakeCrashGuard(Integer.MAX_VALUE);
  }

  /** Creates a schedule of a deployment with a single entry. */
  static EntrySchedule newSchedule() {
    EntrySchedule schedule = new EntrySchedule(0, 1, new SharedClock(MonotonicClock.system()));
    schedule.setRank(0, 1);
    return schedule;
  }

  static Route newRoute(RequestKind kind, boolean isResumable, Duration timeout) {
    return newRoute(kind, isResumable, timeout, MAX_ATTEMPTS);
  }

  static Route newRoute(RequestKind kind, boolean isResumable, Duration timeout, int maxAttempts) {
    return newRoute(kind, isResumable, timeout, Duration.ofMillis(300), maxAttempts);
  }

  static Route newRoute(
      RequestKind kind,
      boolean isResumable,
      Duration timeout,
      Duration latencyTarget,
      int maxAttempts) {
    return new Route(
        "r",
        "h",
        "/r/",
        kind,
        timeout,
        latencyTarget,
        1,
        List.of(new WeightedService(SERVICE, 1)),
        maxAttempts,
        true,
        isResumable);
  }

  static Route withTimeout(Route route, long timeoutMillis) {
    Duration timeout = Duration.ofMillis(timeoutMillis);
    return newRoute(
        route.kind(), route.isResumable(), timeout, route.latencyTarget(), route.maxAttempts());
  }

  static RoutedRequest newRequest(String id, Route route, long arrivalNanos) {
    return newRequest(id, route, arrivalNanos, CallerLink.none());
  }

  static RoutedRequest newRequest(String id, Route route, long arrivalNanos, CallerLink caller) {
    boolean isStream = route.kind() == RequestKind.STREAM;
    TrafficRequest request =
        new TrafficRequest(
            id,
            HttpMethod.POST,
            "/r/x",
            "h",
            new DefaultHttpHeaders(),
            Optional.empty(),
            Optional.empty(),
            isStream
                ? Optional.of(new PromptDescriptor(MODEL, 10, 10, OptionalInt.empty(), List.of()))
                : Optional.empty(),
            OptionalLong.empty());
    return new RoutedRequest(
        request,
        HeldBody.of(new byte[0]),
        route,
        SERVICE,
        Optional.empty(),
        Rank.of(route, Optional.empty()),
        1,
        arrivalNanos,
        route.timeout(),
        caller);
  }

  static ResponsePart newHead(String id, int status) {
    return newHead(id, status, new DefaultHttpHeaders());
  }

  static ResponsePart newHead(String id, int status, HttpHeaders headers) {
    return new ResponsePart.Head(
        new TargetAnswer(
            status,
            headers,
            Optional.of(id),
            true,
            false,
            Optional.empty(),
            OptionalDouble.empty()));
  }

  static ResponsePart newBodyChunk(String text) {
    return new ResponsePart.BodyChunk(text.getBytes(StandardCharsets.UTF_8));
  }
}
