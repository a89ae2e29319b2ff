package org.carawaysill.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import org.carawaysill.model.request.ContentRules;
import org.carawaysill.node.exchange.DiscardedFields;
import org.carawaysill.node.exchange.HeadScan;
import org.carawaysill.node.exchange.MessageFraming;

/**
 * Decodes answers, and decides which bytes are one.
 *
 * <p>Netty accepts more than HTTP/1.1 allows. An answer that this class rejects has a failed decoder result; it ends the
 * input, as no byte behind it can be attributed to a message. Tolerated are other white space between the words of the
 * status line and folded field values, which RFC 9112 allows, and what follows the size of a chunk on its line. A head
 * stays in its buffer until it is complete or too large, and trailers are not kept. Counts the
 * bytes of an answer, since those of heads, chunk sizes and trailers are in no message. Not thread safe: confined to the
 * event loop.
 */
public final class AnswerDecoder extends HttpResponseDecoder {

    private static final List<String> VERSIONS = List.of("HTTP/1.1", "HTTP/1.0");
    private static final byte FIRST_BYTE = 'H';
    private static final int STATUS_DIGITS = 3;
    private static final int LOWEST_STATUS = 100;

    private final HeadScan head;
    private boolean bodyless;
    private boolean atStart = true;
    private long receivedBytes;

    /**
     * Creates a decoder.
     *
     * @param limits the greatest lengths of lines, heads and decoded parts of bodies
     */
    public AnswerDecoder(HttpDecoderConfig limits) {
        super(limits.setTrailersFactory(DiscardedFields.FACTORY));
        head = new HeadScan(limits.getMaxInitialLineLength(), limits.getMaxHeaderSize());
    }

    /**
     * Begins to count the bytes of the answer to the next request.
     *
     * @param withoutBody whether it is to a request whose answers never have a body, whatever their header states
     */
    void begin(boolean withoutBody) {
        bodyless = withoutBody;
        receivedBytes = actualReadableBytes();
    }

    /** Returns whether bytes are left that form no message; they would be decoded as the beginning of the next answer. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns the number of bytes decoded since the request was sent, whatever they were. */
    long decodedBytes() {
        return receivedBytes - actualReadableBytes();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            receivedBytes += bytes.readableBytes();
        }
        super.channelRead(context, message);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        // Netty skips white space and control characters in front of a status line.
        if (atStart && buffer.isReadable() && buffer.getByte(buffer.readerIndex()) != FIRST_BYTE) {
            buffer.skipBytes(buffer.readableBytes());
            out.add(failed(createInvalidMessage(), "the answer begins with no protocol name"));
            return;
        }
        if (atStart) {
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
            if (message instanceof HttpResponse response) {
                check(response);
            }
        }
    }

    private static void check(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            return;
        }
        if (!MessageFraming.isUnambiguous(response)) {
            failed(response, "the end of the body is ambiguous");
        } else if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            failed(response, "no other protocol was asked for");
        }
    }

    private static HttpMessage failed(HttpMessage message, String fault) {
        message.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(fault)));
        return message;
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!VERSIONS.contains(statusLine[0])) {
            throw new IllegalArgumentException("the version is none of " + VERSIONS);
        }
        if (!isStatus(statusLine[1])) {
            throw new IllegalArgumentException("the status is no number of three digits in a known class");
        }
        if (!ContentRules.isWritableAsValue(statusLine[2])) {
            throw new IllegalArgumentException("the reason phrase has control characters");
        }
        return super.createMessage(statusLine);
    }

    private static boolean isStatus(String text) {
        boolean digits = text.chars().allMatch(character -> character >= '0' && character <= '9');
        if (!digits || text.length() != STATUS_DIGITS) {
            return false;
        }
        int status = Integer.parseInt(text);
        return status >= LOWEST_STATUS && status <= ContentRules.HIGHEST_STATUS;
    }

    /** Rejects white space between a field's name and its colon: readers differ in which field that is. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("white space follows the name of a header field");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        MessageFraming.rejectLengthWithChunks();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return bodyless || super.isContentAlwaysEmpty(message);
    }
}
