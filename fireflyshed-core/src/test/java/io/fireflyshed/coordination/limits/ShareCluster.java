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

/** Runs the ledgers of several processes through a seeded schedule of faults. */
final class ShareCluster {

  /** A deliberate fault of the ledgers. */
  enum Breakage {
    NONE,
    RESTART_USES_ALL,
    BORROWER_COUNTS_LONGER,
    LENDER_IGNORES_HOLD,
    USE_NOT_REPORTED
  }

  private static final int STEPS = 120;
  private static final long MAX_STEP_NANOS = Duration.ofMillis(250).toNanos();
  private static final long MAX_DELAY_NANOS = Duration.ofMillis(2_500).toNanos();
  private static final long LONG_AGO_NANOS = Duration.ofHours(1).toNanos();

  /** A process with a clock of its own. */
  private final class Member {

    private final PeerId id;
    private final long offset;
    private final double clockRate;
    private final ShareLedger ledger;
    private final List<Long> useEnds = new ArrayList<>();

    Member(String name) {
      id = new PeerId(name);
      offset = rng.nextLong(-LONG_AGO_NANOS, LONG_AGO_NANOS);
      clockRate = 1 + rng.nextDouble(-ShareTerms.CLOCK_DRIFT, ShareTerms.CLOCK_DRIFT);
      long age = breakage == Breakage.RESTART_USES_ALL ? LONG_AGO_NANOS : 0;
      ledger = new ShareLedger(id, key, limit, getTerms(), read() - age);
    }

    long read() {
      return offset + (long) (nowNanos * clockRate);
    }

    void use() {
      long local = read();
      useEnds.removeIf(end -> end - local <= 0);
      ledger.setInUse(useEnds.size());
      while (useEnds.size() + 1 <= ledger.getUsable(local) && rng.nextInt(4) > 0) {
        useEnds.add(local + rng.nextLong(1, Math.max(2, terms.hold().toNanos())));
        ledger.setInUse(useEnds.size());
      }
    }
  }

  private record Flight(PeerNotice notice, long dueNanos) {}

  private final UniformRandomProvider rng;
  private final Breakage breakage;
  private final ShareTerms terms;
  private final ShareKey key;
  private final double limit;
  private final List<Member> members = new ArrayList<>();
  private final List<Flight> flights = new ArrayList<>();
  private final Set<Integer> cut = new HashSet<>();
  private long nowNanos;
  private int restarts;

  ShareCluster(long seed, ShareTerms terms, ShareKey key, double limit, Breakage breakage) {
    this.rng = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.breakage = breakage;
    this.terms = terms;
    this.key = key;
    this.limit = limit;
    for (int i = 0; i < terms.maxProcesses(); i++) {
      members.add(new Member("p" + i));
    }
  }

  /** Runs the schedule and gets the largest sum of use over all processes. */
  double run() {
    double most = 0;
    for (int i = 0; i < STEPS; i++) {
      nowNanos += rng.nextLong(1, MAX_STEP_NANOS);
      changeFaults();
      deliver();
      for (Member member : members) {
        if (rng.nextInt(3) > 0) {
          tick(member);
        }
      }
      most = Math.max(most, getSum());
    }
    return most;
  }

  private void tick(Member member) {
    if (rng.nextInt(10) == 0) {
      member.ledger.setDemand(rng.nextBoolean() ? 0 : rng.nextDouble(0, limit * 2));
    }
    if (!terms.hold().isZero()) {
      member.use();
    }
    List<PeerId> partners =
        members.stream().map(m -> m.id).filter(p -> !p.equals(member.id)).toList();
    for (ShareDemand demand : member.ledger.newDemands(partners, member.read())) {
      ShareDemand sent = breakage == Breakage.USE_NOT_REPORTED ? withoutUse(demand) : demand;
      send(member, sent);
    }
  }

  private static ShareDemand withoutUse(ShareDemand demand) {
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
    int slot = rng.nextInt(members.size());
    switch (rng.nextInt(12)) {
      case 0 -> cut.add(slot);
      case 1, 2 -> cut.remove(slot);
      case 3 -> {
        if (rng.nextInt(3) == 0) {
          members.set(slot, new Member("p" + slot + "-" + ++restarts));
        }
      }
      default -> {
        // most steps change nothing
      }
    }
  }

  private void send(Member from, PeerNotice notice) {
    if (cut.contains(members.indexOf(from))) {
      return;
    }
    int copies = rng.nextInt(5) == 0 ? rng.nextInt(3) : 1;
    for (int i = 0; i < copies; i++) {
      boolean isLate = rng.nextInt(6) == 0;
      long delay = rng.nextLong(1, isLate ? MAX_DELAY_NANOS : MAX_STEP_NANOS / 2);
      flights.add(new Flight(notice, nowNanos + delay));
    }
  }

  private void deliver() {
    List<Flight> due = flights.stream().filter(f -> f.dueNanos() <= nowNanos).toList();
    flights.removeAll(due);
    for (Flight flight : due) {
      for (Member member : members) {
        if (!cut.contains(members.indexOf(member))) {
          receive(member, flight.notice());
        }
      }
    }
  }

  private void receive(Member member, PeerNotice notice) {
    if (notice instanceof ShareDemand demand) {
      member.ledger.onDemand(demand, member.read()).ifPresent(grant -> send(member, grant));
    } else if (notice instanceof ShareGrant grant) {
      member.ledger.onGrant(grant, member.read());
    }
  }

  private double getSum() {
    return members.stream()
        .mapToDouble(m -> terms.hold().isZero() ? m.ledger.getUsable(m.read()) : m.useEnds.size())
        .sum();
  }

  /** Gets the terms of the next member; some breakages need other terms for each member. */
  private ShareTerms getTerms() {
    return switch (breakage) {
      case BORROWER_COUNTS_LONGER ->
          members.size() % 2 == 0
              ? terms
              : new ShareTerms(
                  terms.maxProcesses(),
                  terms.lease().multipliedBy(2),
                  terms.hold(),
                  terms.reserve());
      case LENDER_IGNORES_HOLD ->
          members.size() % 2 == 0
              ? terms
              : new ShareTerms(
                  terms.maxProcesses(), terms.lease(), Duration.ofNanos(1), terms.reserve());
      default -> terms;
    };
  }
}
