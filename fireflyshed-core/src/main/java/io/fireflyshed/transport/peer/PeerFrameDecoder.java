package io.fireflyshed.transport.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.List;

/**
 * Reads frames: a length of four bytes and a protobuf message.
 *
 * <p>Until the peer has said hello only short frames are accepted, so that a stranger can't make
 * the process hold much.
 */
final class PeerFrameDecoder extends ByteToMessageDecoder {

  /** The largest frame in bytes. */
  static final int MAX_FRAME = 2 * 1024 * 1024;

  private static final int MAX_HELLO = 512;
  private static final int LENGTH_BYTES = 4;

  private int limit = MAX_HELLO;

  /** Lifts the limit after the peer has said hello. */
  void allowLongFrames() {
    limit = MAX_FRAME;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws IOException {
    if (in.readableBytes() < LENGTH_BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length < 1 || length > limit) {
      throw new TooLongFrameException("frame of " + length + " bytes, allowed are " + limit);
    }
    if (in.readableBytes() < LENGTH_BYTES + length) {
      return;
    }
    in.skipBytes(LENGTH_BYTES);
    out.add(parse(in.readSlice(length)));
  }

  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    super.decodeLast(context, in, out);
    if (in.isReadable()) {
      throw new CorruptedFrameException("frame cut off after " + in.readableBytes() + " bytes");
    }
  }

  private static PeerProto.Frame parse(ByteBuf bytes) throws IOException {
    try (ByteBufInputStream stream = new ByteBufInputStream(bytes)) {
      PeerProto.Frame frame = PeerProto.Frame.parseFrom(stream);
      if (frame.getBodyCase() == PeerProto.Frame.BodyCase.BODY_NOT_SET) {
        throw new CorruptedFrameException("frame of an unknown type");
      }
      return frame;
    } catch (InvalidProtocolBufferException e) {
      throw new CorruptedFrameException("frame is not valid", e);
    }
  }
}
