package io.fireflyshed.transport.http;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;

/**
 * Shares the work of an event loop among its connections by deficit round robin.
 *
 * <p>In a turn of the event loop all connections together may do a bounded amount of work; each
 * does at most a quantum of it before the next one is due. Work that is left waits for the next
 * turn, so that what else the event loop has to do is delayed by a turn at most. Not thread safe;
 * only used on the event loop.
 */
final class FairTurns {

  /** A connection with work to do. */
  interface Member {

    /**
     * Works.
     *
     * @param limit the cost of work after which it stops, positive
     * @return the cost of the work done; may exceed the limit by that of the last piece
     */
    int work(int limit);

    /** Tests whether work is left that may be done now. */
    boolean hasWork();
  }

  /** The state of a connection in the round. */
  static final class Slot {
    private final Member member;
    private boolean isQueued;

    /** What the member did more than its quanta permitted. */
    private int debt;

    Slot(Member member) {
      this.member = member;
    }
  }

  private final int quantum;
  private final int turnLimit;
  private final Executor nextTurn;
  private final Queue<Slot> round = new ArrayDeque<>();
  private boolean isTurnDue;
  private boolean isWorking;
  private int turnCost;

  /**
   * Creates an empty round.
   *
   * @param quantum the cost of the work of a connection before the next one is due, positive
   * @param turnLimit the cost of the work of all connections in a turn, positive
   * @param nextTurn runs a task in the next turn of the event loop, not null
   */
  FairTurns(int quantum, int turnLimit, Executor nextTurn) {
    this.quantum = quantum;
    this.turnLimit = turnLimit;
    this.nextTurn = nextTurn;
  }

  /** Lets a connection work, at once if no others wait and the turn has work left. */
  void add(Slot slot) {
    if (slot.isQueued) {
      return;
    }
    slot.isQueued = true;
    round.add(slot);
    if (!isWorking && turnCost < turnLimit && round.size() == 1) {
      work();
    }
    if (!isTurnDue && (turnCost > 0 || !round.isEmpty())) {
      isTurnDue = true;
      nextTurn.execute(this::begin);
    }
  }

  /** Begins the next turn. */
  private void begin() {
    isTurnDue = false;
    turnCost = 0;
    work();
    if (!isTurnDue && !round.isEmpty()) {
      isTurnDue = true;
      nextTurn.execute(this::begin);
    }
  }

  private void work() {
    isWorking = true;
    try {
      while (turnCost < turnLimit && !round.isEmpty()) {
        work(round.remove());
      }
    } finally {
      isWorking = false;
    }
  }

  private void work(Slot slot) {
    slot.isQueued = false;
    // Each visit is counted, so that a turn ends even if all members only pay their debts.
    turnCost++;
    if (slot.debt >= quantum) {
      slot.debt -= quantum;
    } else {
      int limit = quantum - slot.debt;
      int cost = slot.member.work(limit);
      turnCost += cost;
      slot.debt = Math.max(0, cost - limit);
    }
    if (!slot.isQueued && slot.member.hasWork()) {
      slot.isQueued = true;
      round.add(slot);
    }
  }
}
