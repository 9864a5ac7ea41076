package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Holds the beginning of a response that is not a stream, so that another attempt can replace a
 * response that breaks off or states an error.
 *
 * <p>A short response is held until it is complete. What can't be held is passed on as it comes;
 * the caller then notices if it breaks off. Not thread safe.
 */
final class HeldResponse {

  /** The bytes of a response that are held at most. */
  static final int MAX_HELD_BYTES = 64 << 10;

  /** Ends responses that never end. */
  private static final int MAX_BYTES = 4 << 20;

  private static final String STEP = "forward";

  private final String peer;
  private final ResponseMemory.Share memory;
  private final boolean isErrorReplaceable;
  private final boolean hasBody;
  private final List<ResponsePart> parts = new ArrayList<>();
  private OptionalLong statedBytes = OptionalLong.empty();
  private long bytes;
  private boolean isPassedOn;

  /**
   * Creates a response without parts.
   *
   * @param peer the target or entry that responds, not null
   * @param memory counts what is held, not null
   * @param isErrorReplaceable whether another attempt may follow a response that states an error
   * @param hasBody whether the response has the body whose length it states, unlike one to HEAD
   */
  HeldResponse(
      String peer, ResponseMemory.Share memory, boolean isErrorReplaceable, boolean hasBody) {
    this.peer = peer;
    this.memory = memory;
    this.isErrorReplaceable = isErrorReplaceable;
    this.hasBody = hasBody;
  }

  /**
   * Adds a part.
   *
   * @param part the part, the head of the response first, not null
   * @return the parts that are passed on now, never null
   * @throws AttemptException if the response is too long or longer than it states
   */
  List<ResponsePart> add(ResponsePart part) {
    if (part instanceof ResponsePart.BodyChunk chunk) {
      bytes += chunk.bytes().length;
      checkLength(bytes > statedBytes.orElse(bytes));
    } else if (hasBody) {
      statedBytes = ((ResponsePart.Head) part).response().getStatedLength();
    }
    if (bytes > MAX_BYTES) {
      throw new AttemptException(
          STEP, peer, Outcome.UNKNOWN, "the response exceeds " + MAX_BYTES + " bytes", null);
    }
    if (isPassedOn) {
      return List.of(part);
    }
    parts.add(part);
    if (bytes <= MAX_HELD_BYTES && memory.tryHold(bytes)) {
      return List.of();
    }
    if (isErrorReplaceable && !isSuccess()) {
      throw new AttemptException(
          STEP, peer, Outcome.RAN, "the error response has " + bytes + " bytes or more", null);
    }
    isPassedOn = true;
    memory.release();
    List<ResponsePart> held = List.copyOf(parts);
    parts.clear();
    return held;
  }

  /**
   * Ends the response.
   *
   * @throws AttemptException if the response is shorter than it states
   */
  void end() {
    checkLength(bytes < statedBytes.orElse(bytes));
  }

  private void checkLength(boolean isWrong) {
    if (isWrong) {
      String message = "the response has " + bytes + " bytes and states " + statedBytes.getAsLong();
      throw new AttemptException(STEP, peer, Outcome.UNKNOWN, message, null);
    }
  }

  private boolean isSuccess() {
    return ((ResponsePart.Head) parts.get(0)).response().isSuccess();
  }

  /** Tests whether parts were passed on, after which no other response can replace this one. */
  boolean isPassedOn() {
    return isPassedOn;
  }

  /** Returns the parts that are held. */
  List<ResponsePart> getParts() {
    return List.copyOf(parts);
  }
}
