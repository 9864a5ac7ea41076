package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;

/**
 * Represents what waits for frames of another entry on a {@link RelayLink}. Used on the thread of
 * the connections only.
 */
interface LinkCall {

  /** Tests whether the end of the link interrupts work of the other entry. */
  boolean isSent();

  /** Sends the first frame, once the link is ready. */
  void onLinkReady();

  /** Handles a frame that answers this call. */
  void onFrame(PeerProto.Frame frame);

  /** Handles that frames can be written again without waiting. */
  default void onWritable() {}

  /** Handles that the other entry doesn't answer probes, or that it does again. */
  default void onSilent(boolean isSilent) {}

  /** Handles the end of the link, which has removed this call. */
  void onLinkLost(String reason);
}
