package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.budget.ByteClaim;
import io.fireflyshed.coordination.budget.ByteOwner;
import io.fireflyshed.coordination.budget.ByteUse;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Counts the bytes that are held of the responses to one request: of those of its open attempts,
 * and of one that is kept. Thread safe.
 */
final class ResponseMemory {

  private final ByteBudget budget;
  private final ByteOwner route;
  private final Set<ByteBudget.Reservation> open = new HashSet<>();
  private Optional<ByteBudget.Reservation> kept = Optional.empty();
  private boolean isClosed;

  /** Counts the bytes that are held of one response. Thread safe. */
  final class Share {
    private Optional<ByteBudget.Reservation> reservation;

    private Share(Optional<ByteBudget.Reservation> reservation) {
      this.reservation = reservation;
    }

    /**
     * Makes sure that some bytes of the response can be held.
     *
     * @param bytes the bytes that are held then, not negative
     * @return whether there is room for them; never after the release
     */
    boolean tryHold(long bytes) {
      synchronized (ResponseMemory.this) {
        return reservation.map(r -> r.tryGrow(Math.max(0, bytes - r.getBytes()))).orElse(false);
      }
    }

    /** Keeps the response until the end, in place of one that was kept before. */
    void keep() {
      synchronized (ResponseMemory.this) {
        kept.ifPresent(ByteBudget.Reservation::close);
        kept = reservation;
        reservation.ifPresent(open::remove);
        reservation = Optional.empty();
      }
    }

    /** Releases what is held, unless it is kept. */
    void release() {
      synchronized (ResponseMemory.this) {
        reservation.ifPresent(open::remove);
        reservation.ifPresent(ByteBudget.Reservation::close);
        reservation = Optional.empty();
      }
    }
  }

  /**
   * Creates a memory that holds nothing.
   *
   * @param budget the budget of the process, not null
   * @param route the name of the request's route, not null
   */
  ResponseMemory(ByteBudget budget, String route) {
    this.budget = budget;
    this.route = new ByteOwner(ByteOwner.Kind.ROUTE, route);
  }

  /** Starts the response of a peer, which holds nothing at first. */
  synchronized Share start(String peer) {
    if (isClosed) {
      return new Share(Optional.empty());
    }
    ByteOwner owner = new ByteOwner(ByteOwner.Kind.TARGET, peer);
    Optional<ByteBudget.Reservation> reservation =
        budget.tryReserve(new ByteClaim(ByteUse.RESPONSE, Set.of(route, owner), false), 0);
    reservation.ifPresent(open::add);
    return new Share(reservation);
  }

  /** Releases everything, also of responses that start later. */
  synchronized void close() {
    isClosed = true;
    open.forEach(ByteBudget.Reservation::close);
    open.clear();
    kept.ifPresent(ByteBudget.Reservation::close);
  }
}
