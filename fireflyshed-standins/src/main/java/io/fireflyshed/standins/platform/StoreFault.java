package io.fireflyshed.standins.platform;

/** Lists the faults that can be injected into the table service and the object store. */
public enum StoreFault {
  /** No fault. */
  NONE,
  /** All requests fail without taking effect. */
  DOWN,
  /** Responses to table requests are delayed. */
  SLOW,
  /** Transactions take effect, but their commits fail with an unknown outcome. */
  LOST_ANSWER
}
