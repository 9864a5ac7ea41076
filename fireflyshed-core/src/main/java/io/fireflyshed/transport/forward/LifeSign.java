package io.fireflyshed.transport.forward;

/** Distinguishes what shows that a target responds. */
public enum LifeSign {

  /** A part of a response. */
  PART,

  /** A complete response, after which the target may take further requests. */
  RESPONSE,

  /**
   * The end of a long response, which is read as its caller takes it and may have been sent long
   * before. The target may take further requests if it still responds.
   */
  LONG_RESPONSE,

  /** A rejection, after which the target may take requests a moment later. */
  REJECTION
}
