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
 * Keeps the share of one process in a limit that all processes hold together.
 *
 * <p>Each process owns an equal part of the limit, its base share, and lends what it does not need
 * to processes that ask. The sum of what all processes may use never exceeds the limit, whatever
 * notices are lost, late, reordered or repeated:
 *
 * <ul>
 *   <li>A loan counts against the lender before the borrower hears of it. The borrower counts its
 *       lease from before it asked, the lender from when it granted, so the borrower stops first.
 *   <li>Only base shares are lent, never loans. At most {@code maxProcesses} processes are alive.
 *   <li>A process that has just started uses and lends only the reserve, which is never lent, until
 *       every loan that an earlier process could have made of the same base share has run out.
 *   <li>A lender counts the largest loan that the borrower may still use. It forgets a larger one
 *       early only when the borrower has said that it uses a later one.
 * </ul>
 *
 * <p>A cut-off process keeps its base share less what it lent, and gets that back after the lease.
 * Not thread safe; times are readings of the monotonic clock of this process.
 *
 * <pre>{@code
 * ShareLedger ledger = new ShareLedger(self, key, 900, terms, clock.nanoTime());
 * ledger.setDemand(250);
 * ledger.newDemands(bus.getLivePeers(), clock.nanoTime()).forEach(d -> bus.send(d.receiver(), d));
 * double perSecond = ledger.getUsable(clock.nanoTime());
 * }</pre>
 */
public final class ShareLedger {

  /** How much more than its own demand a process asks for. */
  private static final double ASK_HEADROOM = 1.1;

  /** How many times what is missing a process asks for, over all peers. */
  private static final double ASK_SPREAD = 2;

  private static final double NEGLIGIBLE = 1e-6;

  private final PeerId self;
  private final ShareKey key;
  private final ShareTerms terms;
  private final long startNanos;
  private final Map<PeerId, Borrower> borrowers = new HashMap<>();
  private final Map<PeerId, Lender> lenders = new HashMap<>();
  private double limit;
  private double demand;
  private double inUse;
  private long lastSequence;
  private long lastNumber;
  private boolean isSettled;

  /**
   * Creates the ledger of a process that has just started.
   *
   * @param self the process, not null
   * @param key the limit, not null
   * @param limit the size of the limit over all processes, 0 or more
   * @param terms the terms of loans, not null
   * @param startNanos the reading of the clock when the process started
   */
  public ShareLedger(PeerId self, ShareKey key, double limit, ShareTerms terms, long startNanos) {
    this.self = Objects.requireNonNull(self, "self");
    this.key = Objects.requireNonNull(key, "key");
    this.terms = Objects.requireNonNull(terms, "terms");
    this.startNanos = startNanos;
    setLimit(limit);
  }

  /**
   * Changes the size of the limit. Loans that were made before run out on their own terms.
   *
   * @param limit the size over all processes, 0 or more
   */
  public void setLimit(double limit) {
    if (!(limit >= 0) || Double.isInfinite(limit)) {
      throw new IllegalArgumentException("limit must be 0 or more: " + limit);
    }
    this.limit = limit;
  }

  /**
   * Sets how much this process could use.
   *
   * @param demand the demand in units of the limit, 0 or more
   */
  public void setDemand(double demand) {
    this.demand = demand;
  }

  /**
   * Sets how much is in use now; only limits whose uses last need it.
   *
   * @param inUse the use in units of the limit, 0 or more
   */
  public void setInUse(double inUse) {
    this.inUse = inUse;
  }

  /**
   * Gets how much this process may use now, loans included.
   *
   * @param nowNanos the reading of the clock
   * @return the amount in units of the limit, 0 or more
   */
  public double getUsable(long nowNanos) {
    return getOwn(nowNanos) + getBorrowed(nowNanos);
  }

  /**
   * Gets how much this process may expect to use soon.
   *
   * <p>Before peers were asked this is the whole limit; after that it is what they lent, and for a
   * new process at least its base share.
   *
   * @param nowNanos the reading of the clock
   * @return the amount in units of the limit, 0 or more
   */
  public double getExpected(long nowNanos) {
    double usable = getUsable(nowNanos);
    if (demand <= usable) {
      return limit;
    }
    return isSettled(nowNanos) ? usable : Math.max(usable, limit / terms.maxProcesses());
  }

  /**
   * Gets the demands to send to peers, at regular intervals well below the lease.
   *
   * @param partners the peers to borrow from, not null
   * @param nowNanos the reading of the clock
   * @return the notices, empty if nothing is needed or held, never null
   */
  public List<ShareDemand> newDemands(Collection<PeerId> partners, long nowNanos) {
    double own = getOwn(nowNanos);
    double base = limit / terms.maxProcesses();
    boolean isShort = demand > (isSettled(nowNanos) ? base : own);
    double shortage = isShort ? Math.max(0, demand * ASK_HEADROOM - own) : 0;
    double borrowed = getBorrowed(nowNanos);
    lenders.entrySet().removeIf(e -> !partners.contains(e.getKey()) && e.getValue().isIdle());
    List<ShareDemand> demands = new ArrayList<>();
    for (PeerId partner : partners) {
      if (shortage <= NEGLIGIBLE && !lenders.containsKey(partner)) {
        continue;
      }
      Lender lender = lenders.computeIfAbsent(partner, p -> new Lender());
      updateHeld(lender, nowNanos);
      double wanted = getWanted(shortage, borrowed, lender.getAmount(nowNanos), partners.size());
      if (lender.isDue(wanted)) {
        demands.add(newDemand(partner, lender, wanted, nowNanos));
      }
    }
    return demands;
  }

  /**
   * Takes in a demand of a peer.
   *
   * @param notice the demand, not null; ignored if it is meant for another process
   * @param nowNanos the reading of the clock
   * @return the grant to send back, or empty if there is nothing to say
   */
  public Optional<ShareGrant> onDemand(ShareDemand notice, long nowNanos) {
    if (!notice.receiver().equals(self) || !notice.key().equals(key)) {
      return Optional.empty();
    }
    borrowers.values().removeIf(b -> b.isIdle(nowNanos));
    Borrower borrower = borrowers.computeIfAbsent(notice.sender(), p -> new Borrower());
    if (notice.sequence() <= borrower.sequence) {
      return Optional.empty();
    }
    borrower.onDemand(notice, nowNanos);
    double amount = isSettled(nowNanos) ? getOffer(borrower, nowNanos) : 0;
    if (amount <= NEGLIGIBLE && borrower.grants.isEmpty()) {
      return Optional.empty();
    }
    lastNumber++;
    borrower.grants.add(new Loan(lastNumber, amount, nowNanos + terms.getLendNanos()));
    return Optional.of(
        new ShareGrant(self, notice.sender(), key, lastNumber, amount, notice.sequence()));
  }

  /**
   * Takes in a grant of a peer.
   *
   * @param notice the grant, not null; ignored if it is meant for another process or too late
   * @param nowNanos the reading of the clock
   */
  public void onGrant(ShareGrant notice, long nowNanos) {
    Lender lender = lenders.get(notice.sender());
    if (!notice.receiver().equals(self) || !notice.key().equals(key) || lender == null) {
      return;
    }
    Long askedNanos = lender.askTimes.get(notice.demandSequence());
    if (askedNanos == null || notice.number() <= lender.number) {
      return;
    }
    updateHeld(lender, nowNanos);
    lender.number = notice.number();
    lender.amount = notice.amount();
    lender.untilNanos = askedNanos + terms.getBorrowNanos();
    lender.unanswered = lender.amount > NEGLIGIBLE ? 0 : lender.unanswered;
  }

  /** Gets what this process owns and has not lent. */
  private double getOwn(long nowNanos) {
    double base = limit / terms.maxProcesses();
    if (!isSettled(nowNanos)) {
      return base * terms.reserve();
    }
    return Math.max(0, base - getLent(nowNanos));
  }

  private boolean isSettled(long nowNanos) {
    isSettled = isSettled || nowNanos - startNanos >= terms.getLendNanos();
    return isSettled;
  }

  private double getLent(long nowNanos) {
    double sum = 0;
    for (Borrower borrower : borrowers.values()) {
      sum += borrower.getLiability(nowNanos);
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

  /** Splits the shortage over lenders: each keeps its part, and all are asked for the rest. */
  private static double getWanted(double shortage, double borrowed, double amount, int partners) {
    if (borrowed > shortage) {
      return amount * shortage / borrowed;
    }
    return amount + (shortage - borrowed) * Math.min(1, ASK_SPREAD / partners);
  }

  private ShareDemand newDemand(PeerId partner, Lender lender, double wanted, long nowNanos) {
    lastSequence++;
    lender.askTimes.put(lastSequence, nowNanos);
    return new ShareDemand(self, partner, key, lastSequence, wanted, lender.number, lender.held);
  }

  /** Recomputes which part of the uses rests on a lender's loans; it must be told of that. */
  private void updateHeld(Lender lender, long nowNanos) {
    double amount = lender.getAmount(nowNanos);
    if (!terms.hold().isZero()) {
      double elsewhere = getOwn(nowNanos) + getBorrowed(nowNanos) - amount;
      double most = Math.max(lender.amount, lender.held);
      lender.held = Math.max(0, Math.min(inUse - elsewhere, most));
    }
    lender.amount = amount;
  }

  /** Gets how much to lend: what is spare, divided so that small wants are met first. */
  private double getOffer(Borrower borrower, long nowNanos) {
    double base = limit / terms.maxProcesses();
    double spare = Math.min(base * (1 - terms.reserve()), base - demand);
    double fair = Math.min(borrower.wanted, getFairPart(spare, borrower, nowNanos));
    double others = getLent(nowNanos) - borrower.getLiability(nowNanos);
    double needed = Math.max(0, inUse - getBorrowed(nowNanos));
    double room = Math.min(base * (1 - terms.reserve()), base - needed) - others;
    return Math.max(0, Math.min(fair, room));
  }

  private double getFairPart(double spare, Borrower borrower, long nowNanos) {
    List<Double> wants =
        new ArrayList<>(
            borrowers.values().stream()
                .filter(b -> b.wantedUntilNanos - nowNanos > 0)
                .map(b -> b.wanted)
                .sorted()
                .toList());
    double rest = Math.max(0, spare);
    for (int i = 0; i < wants.size(); i++) {
      double part = rest / (wants.size() - i);
      if (wants.get(i) > part || wants.get(i) >= borrower.wanted) {
        return part;
      }
      rest -= wants.get(i);
    }
    return rest;
  }

  /** A loan that this process made. */
  private record Loan(long number, double amount, long untilNanos) {}

  /** What this process knows of a peer that borrows from it. */
  private final class Borrower {

    private final List<Loan> grants = new ArrayList<>();
    private long sequence;
    private double wanted;
    private long wantedUntilNanos;
    private double held;
    private long heldUntilNanos;

    void onDemand(ShareDemand notice, long nowNanos) {
      sequence = notice.sequence();
      wanted = Math.max(0, notice.wanted());
      wantedUntilNanos = nowNanos + terms.lease().toNanos();
      held = Math.min(Math.max(0, notice.held()), getLiability(nowNanos));
      heldUntilNanos = nowNanos + terms.getHoldNanos();
      grants.removeIf(g -> g.number() < notice.grantNumber() || g.untilNanos() - nowNanos <= 0);
      if (grants.size() == 1 && grants.get(0).amount() <= NEGLIGIBLE && held <= NEGLIGIBLE) {
        grants.removeIf(g -> g.number() == notice.grantNumber());
      }
    }

    double getLiability(long nowNanos) {
      double most = heldUntilNanos - nowNanos > 0 ? held : 0;
      for (Loan grant : grants) {
        if (grant.untilNanos() - nowNanos > 0) {
          most = Math.max(most, grant.amount());
        }
      }
      return most;
    }

    boolean isIdle(long nowNanos) {
      return wantedUntilNanos - nowNanos <= 0 && getLiability(nowNanos) == 0;
    }
  }

  /** What this process knows of a peer that lends to it. */
  private static final class Lender {

    private static final int MAX_ASK_TIMES = 16;
    private static final int MAX_SKIPS = 3;

    private final Map<Long, Long> askTimes =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_ASK_TIMES;
          }
        };

    private long number;
    private double amount;
    private long untilNanos;
    private double held;
    private int unanswered;
    private int skips;

    double getAmount(long nowNanos) {
      return number > 0 && untilNanos - nowNanos > 0 ? amount : 0;
    }

    boolean isIdle() {
      return amount <= NEGLIGIBLE && held <= NEGLIGIBLE;
    }

    /** Tests whether to ask now; a lender that has nothing to lend is asked less often. */
    boolean isDue(double wanted) {
      if (!isIdle()) {
        return true;
      }
      if (wanted <= NEGLIGIBLE) {
        return false;
      }
      if (skips > 0) {
        skips--;
        return false;
      }
      skips = Math.min(MAX_SKIPS, unanswered);
      unanswered++;
      return true;
    }
  }
}
