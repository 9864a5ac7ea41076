package io.fireflyshed.coordination.admission;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.coordination.placement.DemandMeter;
import io.fireflyshed.coordination.placement.PoolRoom;
import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.state.traffic.Rank;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which accounts count when an account is compared to the others. */
public class AccountShareTest {

  private static final PoolRoom FREE = new PoolRoom(10, 40, 0);

  /** Full enough that accounts of the most urgent rank above their share are refused. */
  private static final PoolRoom ALMOST_FULL = new PoolRoom(10, 40, 38);

  private RankAdmission admission;

  /** Creates an admission that has seen no request. */
  @BeforeMethod
  public void setUp() {
    admission = new RankAdmission(new DemandMeter());
  }

  private boolean isAdmitted(int account, PoolRoom room, Duration time) {
    RequestDescriptor request =
        new RequestDescriptor(
            "route",
            "pool",
            false,
            new Rank(0),
            Optional.of("account-" + account),
            0,
            OptionalInt.empty(),
            0,
            0,
            Duration.ofMillis(300));
    return admission.decide(request, room, time.toNanos()) instanceof AdmissionDecision.Admit;
  }

  @Test
  public void accountsWithoutCallersMakeNoOtherOneLarge() {
    for (int i = 0; i < 500; i++) {
      isAdmitted(i, FREE, Duration.ofMillis(i));
    }
    int admitted = 0;
    for (int i = 0; i < 100; i++) {
      Duration time = Duration.ofSeconds(60).plusMillis(50 * i);
      admitted += isAdmitted(i % 2, ALMOST_FULL, time) ? 1 : 0;
    }
    assertEquals(admitted, 100);
  }
}
