package io.fireflyshed.state.target;

/** Names the answers of an engine to an order. */
public enum OrderReply {
  /** The order has begun. */
  BEGUN,
  /** The state that was ordered already holds; nothing began. */
  HOLDS,
  /** The order does not fit the state of the engine, or another order came before it. */
  CONFLICT,
  /** A higher fencing token was seen; the sender is no longer the coordinator. */
  FENCED,
  /** Another engine answers at the address, or the engine does not know the order. */
  REJECTED,
  /** No answer came; the order may take effect later. */
  UNKNOWN
}
