package io.fireflyshed.standins.fleet;

/** Lists the faults that can be injected into a {@link StoreStandIn}. */
public enum StoreFault {
  /** No fault. */
  NONE,
  /** All requests are rejected with status 503, without effect. */
  BUSY,
  /** Transactions take effect, but get no response; other requests work. */
  ANSWER_LOST,
  /** The feed loses all changes up to now; later requests work. */
  HISTORY_DROPPED,
  /** The store comes back from a copy, without its latest versions and without history. */
  RESTORED,
  /** No request takes effect or gets a response. */
  SILENT
}
