package io.fireflyshed.coordination.budget;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.clock.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ByteBudget}. */
public class ByteBudgetTest {

  private static final int MIB = 1 << 20;
  private static final long CAPACITY = 48L * MIB;

  private final ManualClock clock = new ManualClock();

  private ByteBudget newBudget() {
    return new ByteBudget(CAPACITY, clock, ByteBudget.Listener.none());
  }

  private static ByteClaim newClaim(String account, boolean isUrgent) {
    return new ByteClaim(
        ByteUse.REQUEST, Set.of(new ByteOwner(ByteOwner.Kind.ACCOUNT, account)), isUrgent);
  }

  /** Reserves parts of some bytes until one is denied, and returns the reservations. */
  private static List<ByteBudget.Reservation> fill(ByteBudget budget, ByteClaim claim, int bytes) {
    List<ByteBudget.Reservation> reservations = new ArrayList<>();
    Optional<ByteBudget.Reservation> next = budget.tryReserve(claim, bytes);
    while (next.isPresent()) {
      reservations.add(next.get());
      next = budget.tryReserve(claim, bytes);
    }
    return reservations;
  }

  @Test
  public void runsTheExampleInTheJavadoc() {
    ByteBudget budget = new ByteBudget(1 << 20, clock, ByteBudget.Listener.none());
    ByteClaim claim = new ByteClaim(ByteUse.REQUEST, Set.of(), false);
    Optional<ByteBudget.Reservation> reservation = budget.tryReserve(claim, 4096);
    reservation.ifPresent(ByteBudget.Reservation::close);
    assertTrue(reservation.isPresent());
    assertEquals(budget.getUsed(), 0);
  }

  /** Tests who gets room beside whom. */
  public static class Shares {

    private ByteBudget budget;

    /** Creates an empty budget. */
    @BeforeMethod
    public void setUp() {
      budget = new ByteBudget(CAPACITY, new ManualClock(), ByteBudget.Listener.none());
    }

    @Test
    public void oneAccountLeavesRoomForOthers() {
      fill(budget, newClaim("large", false), MIB);
      assertTrue(budget.getUsed() > CAPACITY / 3, "used: " + budget.getUsed());
      assertTrue(budget.getUsed() <= CAPACITY / 2, "used: " + budget.getUsed());
      int others = fill(budget, newClaim("other", false), MIB).size();
      assertTrue(others >= 8, others + " of the other account");
    }

    @Test
    public void smallReservationsAndUrgentOnesPassBesideLargeOnes() {
      for (int i = 0; i < 20; i++) {
        fill(budget, newClaim("large-" + i, false), MIB);
      }
      assertTrue(budget.tryReserve(newClaim("large-0", false), MIB).isEmpty());
      assertTrue(budget.tryReserve(newClaim("order", true), 2 * MIB).isPresent());
      assertTrue(budget.tryReserve(newClaim("large-0", false), 2000).isPresent());
    }

    @Test
    public void oneTargetDoesNotTakeTheRoomOfRequests() {
      ByteOwner target = new ByteOwner(ByteOwner.Kind.TARGET, "t1");
      for (int i = 0; i < 60; i++) {
        ByteOwner account = new ByteOwner(ByteOwner.Kind.ACCOUNT, "a" + i);
        fill(budget, new ByteClaim(ByteUse.RESPONSE, Set.of(target, account), false), MIB);
      }
      assertTrue(budget.getUsed(ByteUse.RESPONSE) <= CAPACITY / 2);
      assertTrue(budget.tryReserve(newClaim("a1", false), 4 * MIB).isPresent());
    }

    @Test
    public void controlPlaneIsLimitedByTheCapacityOnly() {
      fill(budget, newClaim("large", true), MIB);
      ByteClaim control = new ByteClaim(ByteUse.CONTROL, Set.of(), false);
      assertTrue(budget.tryReserve(control, CAPACITY - budget.getUsed()).isPresent());
      assertTrue(budget.tryReserve(control, 1).isEmpty());
    }
  }

  @Test
  public void reservationGrowsWhileThereIsRoom() {
    ByteBudget budget = newBudget();
    ByteBudget.Reservation reservation = budget.tryReserve(newClaim("a", false), 0).orElseThrow();
    int parts = 0;
    while (reservation.tryGrow(MIB)) {
      parts++;
    }
    assertEquals(reservation.getBytes(), (long) parts * MIB);
    assertEquals(budget.getUsed(), reservation.getBytes());
    reservation.close();
    reservation.close();
    assertFalse(reservation.tryGrow(1));
    assertEquals(budget.getUsed(), 0);
  }

  @Test
  public void largestReservationThatLastsIsToldToEnd() {
    ByteBudget budget = newBudget();
    List<String> ended = new ArrayList<>();
    for (int size : new int[] {2, 6, 4}) {
      ByteBudget.Reservation reservation =
          budget.tryReserve(newClaim("slow" + size, false), size * MIB).orElseThrow();
      reservation.setEvictable(
          () -> {
            ended.add("size " + size);
            reservation.close();
          });
    }
    for (int i = 0; i < 20; i++) {
      fill(budget, newClaim("other-" + i, true), MIB);
    }
    assertEquals(ended, List.of(), "a new reservation was ended");
    clock.advance(Duration.ofSeconds(2));
    assertTrue(budget.tryReserve(newClaim("order", true), 5 * MIB).isEmpty());
    assertEquals(ended, List.of("size 6"));
    assertTrue(budget.tryReserve(newClaim("order", true), 5 * MIB).isPresent());
    assertEquals(budget.getEvicted(), 1);
  }

  @Test
  public void listenerIsToldOnceUntilThereIsRoomAgain() {
    List<String> events = new ArrayList<>();
    ByteBudget budget =
        new ByteBudget(
            CAPACITY,
            clock,
            new ByteBudget.Listener() {
              @Override
              public void onFull(Map<ByteUse, Long> usedBytes) {
                events.add("full " + usedBytes.keySet());
              }

              @Override
              public void onRoom(long deniedCount) {
                events.add("room " + deniedCount);
              }
            });
    List<ByteBudget.Reservation> all = fill(budget, newClaim("a", false), MIB);
    fill(budget, newClaim("a", false), MIB);
    assertEquals(events, List.of("full [REQUEST]"));
    all.forEach(ByteBudget.Reservation::close);
    assertEquals(events, List.of("full [REQUEST]", "room 2"));
    fill(budget, newClaim("a", false), MIB).forEach(ByteBudget.Reservation::close);
    assertEquals(events, List.of("full [REQUEST]", "room 2", "full [REQUEST]", "room 1"));
  }

  @Test
  public void deniedCallersComeBackAtDifferentTimes() {
    ByteBudget budget = newBudget();
    List<Duration> delays = IntStream.range(0, 5).mapToObj(i -> budget.getRetryAfter()).toList();
    assertEquals(delays.stream().distinct().count(), 5, delays.toString());
  }

  /** Changes reservations at random; the budget must count each byte exactly once. */
  private static void playRandomly(ByteBudget budget, UniformRandomProvider random, int steps) {
    List<ByteBudget.Reservation> open = new ArrayList<>();
    for (int i = 0; i < steps; i++) {
      int bytes = random.nextInt(random.nextBoolean() ? 8 * MIB : 20_000);
      if (open.isEmpty() || random.nextInt(3) == 0) {
        ByteOwner account = new ByteOwner(ByteOwner.Kind.ACCOUNT, "a" + random.nextInt(5));
        ByteOwner target = new ByteOwner(ByteOwner.Kind.TARGET, "t" + random.nextInt(5));
        ByteUse use = ByteUse.values()[random.nextInt(ByteUse.values().length)];
        ByteClaim claim = new ByteClaim(use, Set.of(account, target), random.nextBoolean());
        budget
            .tryReserve(claim, bytes)
            .ifPresent(
                reservation -> {
                  open.add(reservation);
                  if (random.nextBoolean()) {
                    reservation.setEvictable(reservation::close);
                  }
                });
      } else if (random.nextBoolean()) {
        open.get(random.nextInt(open.size())).tryGrow(bytes);
      } else {
        open.remove(random.nextInt(open.size())).close();
      }
      long used = budget.getUsed();
      assertTrue(used >= 0 && used <= CAPACITY, "used: " + used);
    }
    open.forEach(ByteBudget.Reservation::close);
  }

  @Test
  public void randomReservationsNeverExceedTheCapacityNorLeak() {
    for (int seed = 1; seed <= 50; seed++) {
      ByteBudget budget = newBudget();
      playRandomly(budget, RandomSource.XO_RO_SHI_RO_128_PP.create(seed), 2000);
      assertEquals(budget.getUsed(), 0, "seed " + seed);
      assertEquals(budget.countOwners(), 0, "seed " + seed);
      assertTrue(budget.getDenied() > 0, "seed " + seed + " never filled the budget");
    }
  }

  @Test
  public void threadsShareTheBudget() {
    ByteBudget budget = newBudget();
    CompletableFuture<?>[] threads =
        IntStream.range(0, 4)
            .mapToObj(
                i ->
                    CompletableFuture.runAsync(
                        () ->
                            playRandomly(budget, RandomSource.XO_RO_SHI_RO_128_PP.create(i), 5000)))
            .toArray(CompletableFuture[]::new);
    CompletableFuture.allOf(threads).join();
    assertEquals(budget.getUsed(), 0);
    assertEquals(budget.countOwners(), 0);
  }
}
