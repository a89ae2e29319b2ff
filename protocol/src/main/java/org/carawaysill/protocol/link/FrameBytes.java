package org.carawaysill.protocol.link;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.carawaysill.protocol.codec.ProtocolFault;
import org.carawaysill.protocol.generated.Frame;

/**
 * Writes frames to buffers and reads them: a length of 4 bytes, then the frame. Stateless and thread safe.
 */
final class FrameBytes {

    /** The size of the length field before each frame. */
    static final int LENGTH_BYTES = Integer.BYTES;

    private FrameBytes() {}

    /** Creates a decoder that emits each incoming frame without its length field. */
    static LengthFieldBasedFrameDecoder decoder(int maximumFrameBytes) {
        return new LengthFieldBasedFrameDecoder(maximumFrameBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    /** Writes a frame in one pass; the caller owns the buffer. */
    static ByteBuf write(ByteBufAllocator allocator, Frame frame, int size) {
        ByteBuf buffer = allocator.ioBuffer(LENGTH_BYTES + size, LENGTH_BYTES + size);
        buffer.writeInt(size);
        CodedOutputStream output = CodedOutputStream.newInstance(buffer.nioBuffer(LENGTH_BYTES, size));
        try {
            frame.writeTo(output);
            output.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("the serialized frame does not fit its computed size", e);
        }
        return buffer.writerIndex(LENGTH_BYTES + size);
    }

    /** Reads a frame from a buffer that holds it and nothing else. */
    static Frame read(ByteBuf buffer) throws ProtocolFault {
        try {
            return Frame.parseFrom(CodedInputStream.newInstance(buffer.nioBuffer()));
        } catch (InvalidProtocolBufferException e) {
            throw new ProtocolFault(ProtocolFault.Kind.UNPARSABLE, "frame");
        } catch (IOException e) {
            throw new UncheckedIOException("reading a frame from memory failed", e);
        }
    }
}
