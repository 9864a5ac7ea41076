package io.fireflyshed.state.target;

/** Lists the replies of an engine to an order. */
public enum OrderReply {
  /** The engine has started to execute the order. */
  BEGUN,
  /** The engine was already in the requested state, so the order had no effect. */
  HOLDS,
  /** The order doesn't fit the state of the engine, or another order arrived before it. */
  CONFLICT,
  /** The engine has seen a higher fencing token; the sender is no longer the coordinator. */
  FENCED,
  /** Another engine uses the address now, or the engine does not support the order. */
  REJECTED,
  /** No valid reply was received; the order may have taken effect or may do so later. */
  UNKNOWN
}
