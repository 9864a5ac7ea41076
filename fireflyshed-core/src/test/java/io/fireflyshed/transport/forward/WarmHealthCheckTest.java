package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.placement.TurnRate;
import io.fireflyshed.coordination.placement.TurnRates;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

/** Tests {@link WarmHealthCheck}. */
public class WarmHealthCheckTest {

  private static final Target TARGET =
      new Target(
          new InstanceId("t1"),
          new ServiceName("s"),
          InetSocketAddress.createUnresolved("127.0.0.1", 1),
          new AvailabilityZone("a"),
          false,
          1,
          1,
          Optional.empty());

  private Optional<TurnRate> rate;
  private int checks;
  private HealthCheck health;

  /** Creates a check of a target that is warm. */
  @BeforeMethod
  public void setUp() {
    rate = Optional.empty();
    checks = 0;
    HealthCheck counting =
        new HealthCheck() {
          @Override
          public boolean isAvailable(Target target) {
            return true;
          }

          @Override
          public Mono<Void> check(Target target) {
            checks++;
            return Mono.empty();
          }
        };
    TurnRates rates =
        new TurnRates() {
          @Override
          public Optional<TurnRate> get(Target target) {
            return rate;
          }

          @Override
          public void onTurnUsed() {}

          @Override
          public void onContactLost(InstanceId target) {}
        };
    health = new WarmHealthCheck(counting, rates);
  }

  @Test
  public void warmTargetIsAsked() {
    assertTrue(health.isAvailable(TARGET));
    health.check(TARGET).block();
    assertEquals(checks, 1);
  }

  @Test
  public void coldTargetIsNotAskedAlsoIfItBecameColdMeanwhile() {
    final Mono<Void> check = health.check(TARGET);
    rate = Optional.of(new TurnRate(1, Duration.ofSeconds(1)));
    assertFalse(health.isAvailable(TARGET));
    assertThrows(IllegalStateException.class, check::block);
    assertEquals(checks, 0);
  }
}
