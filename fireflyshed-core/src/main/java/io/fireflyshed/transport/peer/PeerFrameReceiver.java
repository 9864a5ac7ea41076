package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.peer.PeerId;
import io.netty.channel.Channel;

/** Receives the events of connections to peers whose hello frame has been accepted. */
interface PeerFrameReceiver {

  /** Handles a connection on which the hello frame of the peer has been accepted. */
  void onReady(PeerId peer, Channel channel);

  /**
   * Handles a frame.
   *
   * @throws IllegalArgumentException if the frame is not valid
   */
  void onFrame(PeerId peer, PeerProto.Frame frame, Channel channel);

  /** Handles a connection to which frames can be written again without waiting. */
  default void onWritable(PeerId peer, Channel channel) {}

  /** Handles the end of a connection. */
  void onClosed(PeerId peer, Channel channel);
}
