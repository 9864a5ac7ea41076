package io.fireflyshed.transport.forward;

import io.fireflyshed.protocol.traffic.TargetAnswer;

/** One part of an answer: its head, which comes first, or a piece of its body. */
public sealed interface AnswerPart {

  /**
   * The head of an answer.
   *
   * @param answer the status and headers, not null
   */
  record Head(TargetAnswer answer) implements AnswerPart {}

  /**
   * A piece of a body.
   *
   * @param bytes the bytes, not null
   */
  record Piece(byte[] bytes) implements AnswerPart {}
}
