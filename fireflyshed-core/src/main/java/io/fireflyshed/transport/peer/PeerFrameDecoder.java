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
 * Decodes frames. A frame is a length of four bytes followed by a protobuf message.
 *
 * <p>Until the hello frame of the peer has been accepted, only short frames are allowed, so that an
 * unidentified client cannot make the process buffer much data.
 */
final class PeerFrameDecoder extends ByteToMessageDecoder {

  /** The maximum length of a message in bytes. */
  static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

  private static final int MAX_HELLO_BYTES = 512;
  private static final int LENGTH_FIELD_BYTES = 4;

  private int maxBytes = MAX_HELLO_BYTES;

  /**
   * Raises the limit to {@link #MAX_FRAME_BYTES}, after the hello frame of the peer has been
   * accepted.
   */
  void allowLongFrames() {
    maxBytes = MAX_FRAME_BYTES;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws IOException {
    if (in.readableBytes() < LENGTH_FIELD_BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length < 1 || length > maxBytes) {
      throw new TooLongFrameException(
          "frame length of " + length + " bytes is not between 1 and " + maxBytes);
    }
    if (in.readableBytes() < LENGTH_FIELD_BYTES + length) {
      return;
    }
    in.skipBytes(LENGTH_FIELD_BYTES);
    out.add(parse(in.readSlice(length)));
  }

  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    super.decodeLast(context, in, out);
    if (in.isReadable()) {
      throw new CorruptedFrameException(
          "connection closed after " + in.readableBytes() + " bytes of an incomplete frame");
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
      throw new CorruptedFrameException("frame is not a valid protobuf message", e);
    }
  }
}
