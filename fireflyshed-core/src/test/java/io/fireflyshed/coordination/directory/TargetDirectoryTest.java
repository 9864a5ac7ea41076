package io.fireflyshed.coordination.directory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.target.TargetChanges;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TargetDirectory}. */
public class TargetDirectoryTest {

  private static final InstanceId ONE = new InstanceId("one");
  private TargetDirectory directory;
  private long nowMillis;

  /** Creates an empty directory. */
  @BeforeMethod
  public void setUp() {
    directory = new TargetDirectory(Duration.ofMillis(1500), Duration.ofMillis(2300));
    nowMillis = 0;
  }

  private static Target newTarget(boolean isLeaving, long startMillis) {
    return new Target(
        ONE,
        new ServiceName("s"),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        new AvailabilityZone("a"),
        isLeaving,
        1,
        startMillis,
        Optional.empty());
  }

  private void add(Target target) {
    apply(new TargetChanges(1, false, List.of(target), Set.of()));
  }

  private void apply(TargetChanges changes) {
    directory.apply(changes, Duration.ofMillis(nowMillis).toNanos());
  }

  private void remove() {
    apply(new TargetChanges(2, false, List.of(), Set.of(ONE)));
  }

  @Test
  public void removedTargetIsDroppedAtOnce() {
    add(newTarget(false, 1));
    nowMillis += 400;
    remove();
    assertEquals(directory.getTargets(), List.of());
  }

  @Test
  public void targetMissingAfterAnOutageIsKeptForTheGracePeriod() {
    add(newTarget(false, 1));
    nowMillis += 5000;
    remove();
    assertEquals(directory.getTargets().size(), 1);
    nowMillis += 2200;
    apply(new TargetChanges(3, false, List.of(), Set.of()));
    assertEquals(directory.getTargets().size(), 1);
    nowMillis += 200;
    apply(new TargetChanges(4, false, List.of(), Set.of()));
    assertEquals(directory.getTargets(), List.of());
  }

  @Test
  public void targetThatReturnsAfterAnOutageIsKept() {
    add(newTarget(false, 1));
    nowMillis += 5000;
    remove();
    nowMillis += 500;
    add(newTarget(false, 1));
    nowMillis += 5000;
    directory.expire(Duration.ofMillis(nowMillis).toNanos());
    assertEquals(directory.getTargets().size(), 1);
  }

  @Test
  public void completeReadDropsUnlistedTargets() {
    add(newTarget(false, 1));
    nowMillis += 100;
    apply(new TargetChanges(9, true, List.of(), Set.of()));
    assertEquals(directory.getTargets(), List.of());
  }

  @Test
  public void leavingMarkIsKeptUntilARestart() {
    add(newTarget(true, 1));
    add(newTarget(false, 1));
    assertTrue(directory.getTargets().get(0).isLeaving());
    add(newTarget(false, 2));
    assertEquals(directory.getTargets().get(0).isLeaving(), false);
  }
}
