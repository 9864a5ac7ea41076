package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.peer.PeerId;
import io.netty.channel.Channel;

/** Takes the frames of peers that have said hello. */
interface PeerFrameReceiver {

  /** Takes the news that a connection is ready. */
  void onReady(PeerId peer, Channel channel);

  /** Takes a frame; a frame that is not valid fails with an IllegalArgumentException. */
  void onFrame(PeerId peer, PeerProto.Frame frame, Channel channel);

  /** Takes the news that a connection is gone. */
  void onClosed(PeerId peer, Channel channel);
}
