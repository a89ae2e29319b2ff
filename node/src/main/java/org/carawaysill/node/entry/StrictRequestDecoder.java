package org.carawaysill.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.carawaysill.node.exchange.DiscardedFields;
import org.carawaysill.node.exchange.HeadScan;
import org.carawaysill.node.exchange.MessageFraming;

/**
 * Decodes requests and rejects those with a length and chunks.
 *
 * <p>Invariants: a head stays in its buffer until it is complete or too large, and the connection takes another request;
 * trailers are not kept, since nobody reads them. Not thread safe: confined to the event loop.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private final HeadScan head;
    private final BooleanSupplier takesRequest;
    private boolean atStart = true;
    private boolean holdsBack;

    /**
     * Creates a decoder.
     *
     * @param limits the greatest sizes of lines, heads and decoded parts of bodies
     * @param takesRequest returns whether the next request may be decoded
     */
    StrictRequestDecoder(HttpDecoderConfig limits, BooleanSupplier takesRequest) {
        super(limits.setTrailersFactory(DiscardedFields.FACTORY));
        head = new HeadScan(limits.getMaxInitialLineLength(), limits.getMaxHeaderSize());
        this.takesRequest = takesRequest;
    }

    /** Returns how much memory the bytes take that are read and not decoded. */
    int bufferedBytes() {
        return internalBuffer().capacity();
    }

    /** Returns whether bytes have arrived that belong to a request which may not be decoded yet. */
    boolean holdsBack() {
        return holdsBack;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (atStart) {
            holdsBack = !takesRequest.getAsBoolean();
            if (holdsBack) {
                return;
            }
            skipEmptyLines(buffer);
            if (!head.isDecodable(buffer)) {
                return;
            }
            head.restart();
            atStart = false;
        }
        int known = out.size();
        super.decode(context, buffer, out);
        for (Object message : out.subList(known, out.size())) {
            atStart |= message instanceof LastHttpContent;
        }
    }

    /** Skips what Netty would skip in front of a request. */
    private void skipEmptyLines(ByteBuf buffer) {
        while (head.isAtStart() && buffer.isReadable() && isSkipped(buffer.getByte(buffer.readerIndex()) & 0xff)) {
            buffer.skipBytes(1);
        }
    }

    private static boolean isSkipped(int first) {
        return Character.isISOControl(first) || Character.isWhitespace(first);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        MessageFraming.rejectLengthWithChunks();
    }
}
