package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;

/** Encodes frames. A frame is a length of four bytes followed by a protobuf message. */
final class PeerFrameEncoder extends MessageToByteEncoder<PeerProto.Frame> {

  @Override
  protected void encode(ChannelHandlerContext context, PeerProto.Frame frame, ByteBuf out)
      throws IOException {
    out.writeInt(frame.getSerializedSize());
    try (ByteBufOutputStream stream = new ByteBufOutputStream(out)) {
      frame.writeTo(stream);
    }
  }
}
