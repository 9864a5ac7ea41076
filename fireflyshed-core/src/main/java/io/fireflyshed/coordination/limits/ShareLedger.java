package io.fireflyshed.coordination.limits;

import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.peer.PeerNotice.ShareDemand;
import io.fireflyshed.state.peer.PeerNotice.ShareGrant;
import io.fireflyshed.state.peer.ShareKey;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Tracks the share of one process in a limit that applies to all processes together.
 *
 * <p>Each process owns an equal part of the limit, its base share, and lends what it does not need
 * to processes that demand more. The sum of what all processes may use never exceeds the limit, no
 * matter which notices are lost, delayed, reordered or duplicated:
 *
 * <ul>
 *   <li>A loan is deducted from the lender's share before the borrower receives the grant. The
 *       borrower's lease starts when it sends the demand, the lender's when it grants the loan, so
 *       the loan expires at the borrower first.
 *   <li>Only base shares are lent, never loans. At most {@code maxProcesses} processes are alive.
 *   <li>A process that has just started uses only its reserve, which is never lent, and lends
 *       nothing until every loan that a previous process could have made from the same base share
 *       has expired.
 *   <li>A lender deducts the largest loan that the borrower may still use. It drops a larger loan
 *       before its expiry only when the borrower has confirmed that it uses a later one.
 * </ul>
 *
 * <p>A process that loses contact with its peers keeps its base share except for the part it lent,
 * and recovers that part when the loans expire. Not thread safe. The current time is always a
 * reading of the monotonic clock of this process, in nanoseconds.
 *
 * <pre>{@code
 * ShareLedger ledger = new ShareLedger(self, key, 900, terms, clock.nanoTime());
 * ledger.setDemand(250);
 * ledger.newDemands(bus.getLivePeers(), clock.nanoTime()).forEach(d -> bus.send(d.receiver(), d));
 * double perSecond = ledger.getUsable(clock.nanoTime());
 * }</pre>
 */
public final class ShareLedger {

  /** The factor by which the requested amount exceeds the demand. */
  private static final double DEMAND_HEADROOM_FACTOR = 1.1;

  /** The sum of the amounts requested from all peers as a multiple of the shortage. */
  private static final double SHORTAGE_REQUEST_FACTOR = 2;

  /** The largest amount that counts as zero. */
  private static final double NEGLIGIBLE_AMOUNT = 1e-6;

  private final PeerId self;
  private final ShareKey key;
  private final LoanTerms terms;
  private final long startNanos;
  private final Map<PeerId, Borrower> borrowers = new HashMap<>();
  private final Map<PeerId, Lender> lenders = new HashMap<>();
  private double limit;
  private double demand;
  private double inUse;
  private long lastDemandSequence;
  private long lastGrantNumber;
  private boolean arePriorLoansExpired;

  /**
   * Creates the ledger of a process that has just started.
   *
   * @param self the id of this process, not null
   * @param key the key of the limit, not null
   * @param limit the limit over all processes, 0 or more and finite
   * @param terms the terms of loans, not null
   * @param startNanos the time when the process started
   */
  public ShareLedger(PeerId self, ShareKey key, double limit, LoanTerms terms, long startNanos) {
    this.self = Objects.requireNonNull(self, "self");
    this.key = Objects.requireNonNull(key, "key");
    this.terms = Objects.requireNonNull(terms, "terms");
    this.startNanos = startNanos;
    setLimit(limit);
  }

  /**
   * Changes the limit. Earlier loans keep their amounts until they expire.
   *
   * @param limit the limit over all processes, 0 or more and finite
   */
  public void setLimit(double limit) {
    if (!(limit >= 0) || Double.isInfinite(limit)) {
      throw new IllegalArgumentException("limit must be finite and not negative: " + limit);
    }
    this.limit = limit;
  }

  /**
   * Sets how much this process would use if it were available.
   *
   * @param demand the demand in units of the limit, 0 or more
   */
  public void setDemand(double demand) {
    this.demand = demand;
  }

  /**
   * Sets how much is in use now. Needed only for limits with a positive hold in their terms.
   *
   * @param inUse the amount in use in units of the limit, 0 or more
   */
  public void setInUse(double inUse) {
    this.inUse = inUse;
  }

  /**
   * Gets how much this process may use now, including what it borrowed.
   *
   * @param nowNanos the current time
   * @return the amount in units of the limit, 0 or more
   */
  public double getUsable(long nowNanos) {
    return getOwnUsable(nowNanos) + getBorrowed(nowNanos);
  }

  /**
   * Estimates how much this process may use soon.
   *
   * <p>While the demand is covered this is the whole limit, since peers have not been asked to lend
   * more. Otherwise it is the amount that is usable now and, while a new process may use only its
   * reserve, at least the base share.
   *
   * @param nowNanos the current time
   * @return the amount in units of the limit, 0 or more
   */
  public double estimateUsable(long nowNanos) {
    double usable = getUsable(nowNanos);
    if (demand <= usable) {
      return limit;
    }
    return arePriorLoansExpired(nowNanos) ? usable : Math.max(usable, limit / terms.maxProcesses());
  }

  /**
   * Creates the demands to send to peers. To be called at regular intervals well below the lease.
   *
   * @param peers the peers to borrow from, not null
   * @param nowNanos the current time
   * @return the demands, empty if nothing is needed or borrowed, never null
   */
  public List<ShareDemand> newDemands(Collection<PeerId> peers, long nowNanos) {
    double ownUsable = getOwnUsable(nowNanos);
    double baseShare = limit / terms.maxProcesses();
    boolean hasShortage = demand > (arePriorLoansExpired(nowNanos) ? baseShare : ownUsable);
    double shortage = hasShortage ? Math.max(0, demand * DEMAND_HEADROOM_FACTOR - ownUsable) : 0;
    double borrowed = getBorrowed(nowNanos);
    lenders.entrySet().removeIf(e -> !peers.contains(e.getKey()) && e.getValue().isIdle());
    List<ShareDemand> demands = new ArrayList<>();
    for (PeerId peer : peers) {
      if (shortage <= NEGLIGIBLE_AMOUNT && !lenders.containsKey(peer)) {
        continue;
      }
      Lender lender = lenders.computeIfAbsent(peer, p -> new Lender());
      updateUse(lender, nowNanos);
      double wanted = computeWanted(shortage, borrowed, lender.getAmount(nowNanos), peers.size());
      if (lender.isDemandDue(wanted)) {
        demands.add(newDemand(peer, lender, wanted, nowNanos));
      }
    }
    return demands;
  }

  /**
   * Handles a demand from a peer.
   *
   * @param notice the demand, not null; ignored if it is outdated or addressed to another process
   * @param nowNanos the current time
   * @return the grant to send back, or empty if nothing is or was lent to the peer
   */
  public Optional<ShareGrant> handleDemand(ShareDemand notice, long nowNanos) {
    if (!notice.receiver().equals(self) || !notice.key().equals(key)) {
      return Optional.empty();
    }
    borrowers.values().removeIf(b -> b.isIdle(nowNanos));
    Borrower borrower = borrowers.computeIfAbsent(notice.sender(), p -> new Borrower());
    if (notice.sequence() <= borrower.lastSequence) {
      return Optional.empty();
    }
    borrower.recordDemand(notice, nowNanos);
    double amount = arePriorLoansExpired(nowNanos) ? computeOffer(borrower, nowNanos) : 0;
    if (amount <= NEGLIGIBLE_AMOUNT && borrower.loans.isEmpty()) {
      return Optional.empty();
    }
    lastGrantNumber++;
    borrower.loans.add(new Loan(lastGrantNumber, amount, nowNanos + terms.getLenderExpiryNanos()));
    return Optional.of(
        new ShareGrant(self, notice.sender(), key, lastGrantNumber, amount, notice.sequence()));
  }

  /**
   * Handles a grant from a peer.
   *
   * @param notice the grant, not null; ignored if it is outdated or addressed to another process
   * @param nowNanos the current time
   */
  public void handleGrant(ShareGrant notice, long nowNanos) {
    Lender lender = lenders.get(notice.sender());
    if (!notice.receiver().equals(self) || !notice.key().equals(key) || lender == null) {
      return;
    }
    Long demandNanos = lender.demandTimes.get(notice.demandSequence());
    if (demandNanos == null || notice.number() <= lender.grantNumber) {
      return;
    }
    updateUse(lender, nowNanos);
    lender.grantNumber = notice.number();
    lender.amount = notice.amount();
    lender.expiryNanos = demandNanos + terms.getBorrowerExpiryNanos();
    lender.demandsWithoutLoan = lender.amount > NEGLIGIBLE_AMOUNT ? 0 : lender.demandsWithoutLoan;
  }

  /** Gets the part of the base share that this process may use itself. */
  private double getOwnUsable(long nowNanos) {
    double baseShare = limit / terms.maxProcesses();
    if (!arePriorLoansExpired(nowNanos)) {
      return baseShare * terms.reserve();
    }
    return Math.max(0, baseShare - getLent(nowNanos));
  }

  /** Tests whether all loans of a previous process with the same base share have expired. */
  private boolean arePriorLoansExpired(long nowNanos) {
    arePriorLoansExpired =
        arePriorLoansExpired || nowNanos - startNanos >= terms.getLenderExpiryNanos();
    return arePriorLoansExpired;
  }

  private double getLent(long nowNanos) {
    double sum = 0;
    for (Borrower borrower : borrowers.values()) {
      sum += borrower.getOutstanding(nowNanos);
    }
    return sum;
  }

  private double getBorrowed(long nowNanos) {
    double sum = 0;
    for (Lender lender : lenders.values()) {
      sum += lender.getAmount(nowNanos);
    }
    return sum;
  }

  /**
   * Computes the amount to request from one lender. Lenders that already lend keep their loans, and
   * the remaining shortage is spread over all peers; an excess of loans is reduced proportionally.
   */
  private static double computeWanted(double shortage, double borrowed, double amount, int peers) {
    if (borrowed > shortage) {
      return amount * shortage / borrowed;
    }
    return amount + (shortage - borrowed) * Math.min(1, SHORTAGE_REQUEST_FACTOR / peers);
  }

  private ShareDemand newDemand(PeerId peer, Lender lender, double wanted, long nowNanos) {
    lastDemandSequence++;
    lender.demandTimes.put(lastDemandSequence, nowNanos);
    return new ShareDemand(
        self, peer, key, lastDemandSequence, wanted, lender.grantNumber, lender.amountInUse);
  }

  /** Recomputes how much of a lender's loans is in use, which the next demand reports to it. */
  private void updateUse(Lender lender, long nowNanos) {
    double amount = lender.getAmount(nowNanos);
    if (!terms.hold().isZero()) {
      double otherUsable = getOwnUsable(nowNanos) + getBorrowed(nowNanos) - amount;
      double maximum = Math.max(lender.amount, lender.amountInUse);
      lender.amountInUse = Math.max(0, Math.min(inUse - otherUsable, maximum));
    }
    lender.amount = amount;
  }

  /** Computes how much to lend: a max-min fair part of what this process does not need itself. */
  private double computeOffer(Borrower borrower, long nowNanos) {
    double baseShare = limit / terms.maxProcesses();
    double lendable = Math.min(baseShare * (1 - terms.reserve()), baseShare - demand);
    double fairPart = Math.min(borrower.wanted, computeFairPart(lendable, borrower, nowNanos));
    double lentToOthers = getLent(nowNanos) - borrower.getOutstanding(nowNanos);
    double ownShareInUse = Math.max(0, inUse - getBorrowed(nowNanos));
    double available =
        Math.min(baseShare * (1 - terms.reserve()), baseShare - ownShareInUse) - lentToOthers;
    return Math.max(0, Math.min(fairPart, available));
  }

  /**
   * Computes the upper bound that max-min fairness sets for a borrower: small wanted amounts are
   * met in full and the remainder is divided equally.
   */
  private double computeFairPart(double lendable, Borrower borrower, long nowNanos) {
    List<Double> wantedAmounts =
        new ArrayList<>(
            borrowers.values().stream()
                .filter(b -> b.wantedExpiryNanos - nowNanos > 0)
                .map(b -> b.wanted)
                .sorted()
                .toList());
    double remaining = Math.max(0, lendable);
    for (int i = 0; i < wantedAmounts.size(); i++) {
      double equalPart = remaining / (wantedAmounts.size() - i);
      if (wantedAmounts.get(i) > equalPart || wantedAmounts.get(i) >= borrower.wanted) {
        return equalPart;
      }
      remaining -= wantedAmounts.get(i);
    }
    return remaining;
  }

  /** A loan that this process granted. */
  private record Loan(long number, double amount, long expiryNanos) {}

  /** The state of a peer that borrows from this process. */
  private final class Borrower {

    private final List<Loan> loans = new ArrayList<>();
    private long lastSequence;
    private double wanted;
    private long wantedExpiryNanos;
    private double reportedUse;
    private long reportedUseExpiryNanos;

    void recordDemand(ShareDemand notice, long nowNanos) {
      lastSequence = notice.sequence();
      wanted = Math.max(0, notice.wanted());
      wantedExpiryNanos = nowNanos + terms.lease().toNanos();
      reportedUse = Math.min(Math.max(0, notice.held()), getOutstanding(nowNanos));
      reportedUseExpiryNanos = nowNanos + terms.getUseExpiryNanos();
      loans.removeIf(
          loan -> loan.number() < notice.grantNumber() || loan.expiryNanos() - nowNanos <= 0);
      if (loans.size() == 1
          && loans.get(0).amount() <= NEGLIGIBLE_AMOUNT
          && reportedUse <= NEGLIGIBLE_AMOUNT) {
        loans.removeIf(loan -> loan.number() == notice.grantNumber());
      }
    }

    /** Gets the largest amount that the borrower may still use. */
    double getOutstanding(long nowNanos) {
      double maximum = reportedUseExpiryNanos - nowNanos > 0 ? reportedUse : 0;
      for (Loan loan : loans) {
        if (loan.expiryNanos() - nowNanos > 0) {
          maximum = Math.max(maximum, loan.amount());
        }
      }
      return maximum;
    }

    boolean isIdle(long nowNanos) {
      return wantedExpiryNanos - nowNanos <= 0 && getOutstanding(nowNanos) == 0;
    }
  }

  /** The state of a peer that lends to this process or is asked to. */
  private static final class Lender {

    private static final int MAX_DEMAND_TIMES = 16;
    private static final int MAX_SKIPPED_ROUNDS = 3;

    /** The times of the latest demands by their sequence numbers. */
    private final Map<Long, Long> demandTimes =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_DEMAND_TIMES;
          }
        };

    private long grantNumber;
    private double amount;
    private long expiryNanos;
    private double amountInUse;
    private int demandsWithoutLoan;
    private int roundsToSkip;

    double getAmount(long nowNanos) {
      return grantNumber > 0 && expiryNanos - nowNanos > 0 ? amount : 0;
    }

    boolean isIdle() {
      return amount <= NEGLIGIBLE_AMOUNT && amountInUse <= NEGLIGIBLE_AMOUNT;
    }

    /** Tests whether to send a demand now; a peer that lends nothing is asked less often. */
    boolean isDemandDue(double wanted) {
      if (!isIdle()) {
        return true;
      }
      if (wanted <= NEGLIGIBLE_AMOUNT) {
        return false;
      }
      if (roundsToSkip > 0) {
        roundsToSkip--;
        return false;
      }
      roundsToSkip = Math.min(MAX_SKIPPED_ROUNDS, demandsWithoutLoan);
      demandsWithoutLoan++;
      return true;
    }
  }
}
