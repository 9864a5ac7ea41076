package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.budget.ByteClaim;
import io.fireflyshed.coordination.budget.ByteOwner;
import io.fireflyshed.coordination.budget.ByteUse;
import java.util.Optional;
import java.util.Set;

/**
 * Counts the bytes that are held of the responses to one request: of the current one, and of one
 * that is kept. Thread safe.
 */
final class ResponseMemory {

  private final ByteBudget budget;
  private final ByteOwner route;
  private Optional<ByteBudget.Reservation> reservation = Optional.empty();
  private Optional<ByteBudget.Reservation> kept = Optional.empty();
  private boolean isClosed;

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

  /** Releases what is held, except what is kept, and starts the response of a peer. */
  synchronized void start(String peer) {
    release();
    if (!isClosed) {
      ByteOwner owner = new ByteOwner(ByteOwner.Kind.TARGET, peer);
      reservation =
          budget.tryReserve(new ByteClaim(ByteUse.RESPONSE, Set.of(route, owner), false), 0);
    }
  }

  /**
   * Makes sure that some bytes of the current response can be held.
   *
   * @param bytes the bytes that are held then, not negative
   * @return whether there is room for them
   */
  synchronized boolean tryHold(long bytes) {
    return reservation.map(r -> r.tryGrow(Math.max(0, bytes - r.getBytes()))).orElse(false);
  }

  /** Keeps the current response until the end, in place of one that was kept before. */
  synchronized void keep() {
    kept.ifPresent(ByteBudget.Reservation::close);
    kept = reservation;
    reservation = Optional.empty();
  }

  /** Releases what is held of the current response. */
  synchronized void release() {
    reservation.ifPresent(ByteBudget.Reservation::close);
    reservation = Optional.empty();
  }

  /** Releases everything, also of responses that start later. */
  synchronized void close() {
    isClosed = true;
    release();
    kept.ifPresent(ByteBudget.Reservation::close);
  }
}
