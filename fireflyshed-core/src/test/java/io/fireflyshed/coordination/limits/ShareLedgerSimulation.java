package io.fireflyshed.coordination.limits;

import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.peer.PeerNotice;
import io.fireflyshed.state.peer.PeerNotice.ShareDemand;
import io.fireflyshed.state.peer.PeerNotice.ShareGrant;
import io.fireflyshed.state.peer.ShareKey;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Runs the share ledgers of several processes through a random schedule of lost, delayed and
 * repeated notices, disconnections and restarts, determined by a seed.
 */
final class ShareLedgerSimulation {

  /** A fault injected into the ledgers, which must make the sum of use exceed the limit. */
  enum InjectedFault {
    NONE,
    RESTART_USES_FULL_SHARE,
    BORROWER_LEASE_TOO_LONG,
    LENDER_IGNORES_HOLD,
    USE_NOT_REPORTED
  }

  private static final int STEPS = 120;
  private static final long MAX_STEP_NANOS = Duration.ofMillis(250).toNanos();
  private static final long MAX_DELAY_NANOS = Duration.ofMillis(2_500).toNanos();
  private static final long LONG_AGO_NANOS = Duration.ofHours(1).toNanos();

  /** A process whose clock has an offset and a drift of its own. */
  private final class Process {

    private final PeerId id;
    private final long clockOffsetNanos;
    private final double clockRate;
    private final ShareLedger ledger;
    private final List<Long> useEnds = new ArrayList<>();

    Process(String name) {
      id = new PeerId(name);
      clockOffsetNanos = random.nextLong(-LONG_AGO_NANOS, LONG_AGO_NANOS);
      clockRate = 1 + random.nextDouble(-LoanTerms.MAX_CLOCK_DRIFT, LoanTerms.MAX_CLOCK_DRIFT);
      long ageNanos = injectedFault == InjectedFault.RESTART_USES_FULL_SHARE ? LONG_AGO_NANOS : 0;
      ledger = new ShareLedger(id, key, limit, newTerms(), readClock() - ageNanos);
    }

    long readClock() {
      return clockOffsetNanos + (long) (nowNanos * clockRate);
    }

    void simulateUse() {
      long localNanos = readClock();
      useEnds.removeIf(end -> end - localNanos <= 0);
      ledger.setInUse(useEnds.size());
      while (useEnds.size() + 1 <= ledger.getUsable(localNanos) && random.nextInt(4) > 0) {
        useEnds.add(localNanos + random.nextLong(1, Math.max(2, terms.hold().toNanos())));
        ledger.setInUse(useEnds.size());
      }
    }
  }

  private record NoticeInFlight(PeerNotice notice, long dueNanos) {}

  private final UniformRandomProvider random;
  private final InjectedFault injectedFault;
  private final LoanTerms terms;
  private final ShareKey key;
  private final double limit;
  private final List<Process> processes = new ArrayList<>();
  private final List<NoticeInFlight> noticesInFlight = new ArrayList<>();
  private final Set<Integer> disconnected = new HashSet<>();
  private long nowNanos;
  private int restartCount;

  ShareLedgerSimulation(
      long seed, LoanTerms terms, ShareKey key, double limit, InjectedFault injectedFault) {
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.injectedFault = injectedFault;
    this.terms = terms;
    this.key = key;
    this.limit = limit;
    for (int i = 0; i < terms.maxProcesses(); i++) {
      processes.add(new Process("p" + i));
    }
  }

  /** Runs the schedule and returns the largest sum of use over all processes. */
  double run() {
    double maximum = 0;
    for (int i = 0; i < STEPS; i++) {
      nowNanos += random.nextLong(1, MAX_STEP_NANOS);
      changeFaults();
      deliver();
      for (Process process : processes) {
        if (random.nextInt(3) > 0) {
          tick(process);
        }
      }
      maximum = Math.max(maximum, sumUse());
    }
    return maximum;
  }

  private void tick(Process process) {
    if (random.nextInt(10) == 0) {
      process.ledger.setDemand(random.nextBoolean() ? 0 : random.nextDouble(0, limit * 2));
    }
    if (!terms.hold().isZero()) {
      process.simulateUse();
    }
    List<PeerId> peers =
        processes.stream().map(p -> p.id).filter(p -> !p.equals(process.id)).toList();
    for (ShareDemand demand : process.ledger.newDemands(peers, process.readClock())) {
      ShareDemand sent =
          injectedFault == InjectedFault.USE_NOT_REPORTED ? withoutReportedUse(demand) : demand;
      send(process, sent);
    }
  }

  private static ShareDemand withoutReportedUse(ShareDemand demand) {
    return new ShareDemand(
        demand.sender(),
        demand.receiver(),
        demand.key(),
        demand.sequence(),
        demand.wanted(),
        demand.grantNumber(),
        0);
  }

  private void changeFaults() {
    int index = random.nextInt(processes.size());
    switch (random.nextInt(12)) {
      case 0 -> disconnected.add(index);
      case 1, 2 -> disconnected.remove(index);
      case 3 -> {
        if (random.nextInt(3) == 0) {
          processes.set(index, new Process("p" + index + "-" + ++restartCount));
        }
      }
      default -> {
        // most steps change no fault
      }
    }
  }

  private void send(Process from, PeerNotice notice) {
    if (disconnected.contains(processes.indexOf(from))) {
      return;
    }
    int copies = random.nextInt(5) == 0 ? random.nextInt(3) : 1;
    for (int i = 0; i < copies; i++) {
      boolean isLate = random.nextInt(6) == 0;
      long delay = random.nextLong(1, isLate ? MAX_DELAY_NANOS : MAX_STEP_NANOS / 2);
      noticesInFlight.add(new NoticeInFlight(notice, nowNanos + delay));
    }
  }

  private void deliver() {
    List<NoticeInFlight> due =
        noticesInFlight.stream().filter(n -> n.dueNanos() <= nowNanos).toList();
    noticesInFlight.removeAll(due);
    for (NoticeInFlight delivery : due) {
      for (Process process : processes) {
        if (!disconnected.contains(processes.indexOf(process))) {
          receive(process, delivery.notice());
        }
      }
    }
  }

  private void receive(Process process, PeerNotice notice) {
    if (notice instanceof ShareDemand demand) {
      process
          .ledger
          .handleDemand(demand, process.readClock())
          .ifPresent(grant -> send(process, grant));
    } else if (notice instanceof ShareGrant grant) {
      process.ledger.handleGrant(grant, process.readClock());
    }
  }

  private double sumUse() {
    return processes.stream()
        .mapToDouble(
            p -> terms.hold().isZero() ? p.ledger.getUsable(p.readClock()) : p.useEnds.size())
        .sum();
  }

  /**
   * Returns the terms of the next process; some injected faults give every second process different
   * ones.
   */
  private LoanTerms newTerms() {
    return switch (injectedFault) {
      case BORROWER_LEASE_TOO_LONG ->
          processes.size() % 2 == 0
              ? terms
              : new LoanTerms(
                  terms.maxProcesses(),
                  terms.lease().multipliedBy(2),
                  terms.hold(),
                  terms.reserve());
      case LENDER_IGNORES_HOLD ->
          processes.size() % 2 == 0
              ? terms
              : new LoanTerms(
                  terms.maxProcesses(), terms.lease(), Duration.ofNanos(1), terms.reserve());
      default -> terms;
    };
  }
}
