package org.carawaysill.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.CopyNotice;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.node.exchange.HeaderFilter;
import org.carawaysill.node.observation.ConnectionEnd;
import org.carawaysill.node.observation.ConnectionFault;
import org.carawaysill.node.upstream.AnswerClassifier.Verdict;
import org.carawaysill.policy.fleet.FleetEffect;

/**
 * A connection to the local copy, which carries one request at a time.
 *
 * <p>Invariants: an answer is complete only by its length, by its last chunk or, if it has neither, by the orderly end
 * of the connection; an answer that names another request ends no exchange; a connection with a fault or with
 * unsolicited bytes carries no further request. Not thread safe: confined to the event loop.
 */
final class CopyConnection extends ChannelInboundHandlerAdapter {

    private static final Duration REFUSED_RETRY_AFTER = Duration.ofMillis(100);

    private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

    private final CopyConnections pool;
    private final AnswerDecoder decoder;
    private Optional<CopyChannel> channel = Optional.empty();
    private Optional<CopyExchange> exchange = Optional.empty();
    private Optional<HttpResponse> answer = Optional.empty();
    private Verdict verdict = Verdict.OWN;
    private final AnswerBody body;
    private long discardedBytes;
    private Optional<ConnectionEnd> endReason = Optional.empty();
    private boolean reusable = true;
    private boolean requestWritten = true;
    private boolean answerComplete;
    private boolean used;
    private long idleSinceNanos;
    private Duration idleLimit;

    CopyConnection(CopyConnections pool, AnswerDecoder decoder, Duration idleLimit) {
        this.pool = pool;
        this.decoder = decoder;
        this.idleLimit = idleLimit;
        body = new AnswerBody(pool.answerBodies());
    }

    /** Called before the connect future completes, while channelActive is called only after that. */
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = Optional.of((CopyChannel) context.channel());
        idleSinceNanos = System.nanoTime();
    }

    AnswerDecoder decoder() {
        return decoder;
    }

    boolean isUsable(long now) {
        return reusable && channel.filter(Channel::isActive).isPresent() && now - idleSinceNanos < idleLimit.toNanos();
    }

    /** Returns whether the time since the last answer is long enough; a connection that carried no request needs no rest. */
    boolean hasRested(long now, Duration rest) {
        return !used || now - idleSinceNanos >= rest.toNanos();
    }

    /** Returns whether the copy has closed this idle connection or sent more bytes, which was not yet processed. */
    boolean hasInput() {
        return channel.orElseThrow().hasInput();
    }

    /** Writes a request, unless its deadline has passed. */
    void send(CopyExchange next) {
        long remaining = next.request().deadlineNanos() - System.nanoTime();
        if (remaining <= 0) {
            // A process that was paused may have late work when it resumes, and the copy would run requests that their
            // callers have given up. Therefore the deadline is checked last, directly before the write.
            pool.release(this);
            pool.ended(next, notRun(RefusalReason.DEADLINE, Step.COPY_WRITE));
            return;
        }
        next.startOn(this, rested());
        used = true;
        exchange = Optional.of(next);
        answer = Optional.empty();
        discardedBytes = 0;
        answerComplete = false;
        requestWritten = false;
        decoder.begin(next.request().content().method().equals(HttpMethod.HEAD.name()));
        channel.orElseThrow()
                .writeAndFlush(encode(next.request(), remaining))
                .addListener((ChannelFuture written) -> written(next, written.isSuccess()));
    }

    private Optional<Duration> rested() {
        return used ? Optional.of(Duration.ofNanos(System.nanoTime() - idleSinceNanos)) : Optional.empty();
    }

    private FullHttpRequest encode(FleetEffect.SendToCopy request, long remainingNanos) {
        RequestContent content = request.content();
        ByteBuf bytes = Unpooled.wrappedBuffer(content.body().bytes());
        FullHttpRequest encoded = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(content.method()), content.path(), bytes);
        for (Header header : content.headers()) {
            encoded.headers().add(header.name(), header.value());
        }
        long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos));
        encoded.headers().set(pool.dialect().requestName(), request.requestName());
        encoded.headers().set(pool.dialect().clientTimeout(), Long.toString(millis));
        encoded.headers().set(pool.dialect().copy(), request.copy().value());
        encoded.headers()
                .set(pool.dialect().callerService(), request.callerService().value());
        setOrganisation(encoded, request);
        if (content.body().length() > 0 || !isBodyless(content.method())) {
            encoded.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.body().length());
        }
        return encoded;
    }

    /** Sets the organisation of the request's key, replacing any value in the request, and never sends the key. */
    private void setOrganisation(FullHttpRequest encoded, FleetEffect.SendToCopy request) {
        encoded.headers().remove(pool.dialect().organisation());
        request.organisation().ifPresent(organisation -> {
            encoded.headers().remove(HttpHeaderNames.AUTHORIZATION);
            encoded.headers().set(pool.dialect().organisation(), organisation.value());
        });
    }

    private static boolean isBodyless(String method) {
        return method.equals(HttpMethod.GET.name()) || method.equals(HttpMethod.HEAD.name());
    }

    /** Completes a write. An exchange that was answered earlier releases its connection only then. */
    private void written(CopyExchange of, boolean success) {
        requestWritten = true;
        if (!success) {
            close(ConnectionEnd.WRITE_FAILED);
            exchange.filter(of::equals).ifPresent(_ -> lost());
        } else {
            releaseIfDone();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (endReason.isPresent()) {
                // The connection is being closed, and its request has ended.
                return;
            }
            if (exchange.isEmpty()) {
                // Bytes after a complete answer, or an unsolicited answer, belong to no request; they would be matched
                // to the next one.
                closeBroken();
            } else {
                receive(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void receive(Object message) {
        if (message instanceof HttpResponse response) {
            if (response.decoderResult().isFailure()) {
                endBroken(ConnectionEnd.BAD_ANSWER);
                return;
            }
            begin(response);
        }
        if (message instanceof HttpContent content && answer.isPresent()) {
            receiveBody(content);
        }
        endIfTooLarge();
    }

    private void begin(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        answer = Optional.of(response);
        CopyExchange current = exchange.orElseThrow();
        verdict = pool.classifier().classify(response, current.request().requestName());
        if (verdict == Verdict.INVALID) {
            endBroken(ConnectionEnd.BAD_ANSWER);
            return;
        }
        if (verdict == Verdict.FOREIGN) {
            // The answer to this request follows on this connection, which then carries no further request.
            pool.count(ConnectionFault.COPY_BROKEN);
            reusable = false;
        }
        readKeepAlive(response);
    }

    private void readKeepAlive(HttpResponse response) {
        if (!HttpUtil.isKeepAlive(response)) {
            reusable = false;
        }
        String stated = response.headers().get("Keep-Alive");
        if (stated != null && stated.startsWith(KEEP_ALIVE_TIMEOUT)) {
            int end = stated.indexOf(',');
            String seconds = stated.substring(KEEP_ALIVE_TIMEOUT.length(), end < 0 ? stated.length() : end);
            try {
                idleLimit = pool.idleLimit(Duration.ofSeconds(Long.parseLong(seconds.strip())));
            } catch (NumberFormatException unreadable) {
                pool.count(ConnectionFault.COPY_BROKEN);
            }
        }
    }

    private void receiveBody(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            endBroken(ConnectionEnd.BAD_ANSWER);
            return;
        }
        if (verdict == Verdict.OWN) {
            keep(content.content());
        } else {
            discardedBytes += content.content().readableBytes();
        }
        if (content instanceof LastHttpContent && answer.isPresent()) {
            complete();
        }
    }

    /** Keeps a part of the body. If the memory for answers is full, the largest unfinished one is ended to make room. */
    private void keep(ByteBuf bytes) {
        while (exchange.isPresent() && !body.append(bytes)) {
            pool.largestAnswer(this).endBroken(ConnectionEnd.ANSWER_TOO_LARGE);
        }
    }

    /** Returns the bytes that are kept of an unfinished answer. */
    int keptBytes() {
        return body.length();
    }

    private void endIfTooLarge() {
        if (exchange.isPresent() && AnswerLimits.areExceeded(decoder.decodedBytes(), body.length(), discardedBytes)) {
            endBroken(ConnectionEnd.ANSWER_TOO_LARGE);
        }
    }

    private void complete() {
        HttpResponse response = answer.orElseThrow();
        answer = Optional.empty();
        if (verdict == Verdict.FOREIGN) {
            return;
        }
        CopyExchange done = exchange.orElseThrow();
        exchange = Optional.empty();
        answerComplete = true;
        Optional<CopyNotice> notice = pool.notice(response, done.request().requestName());
        Outcome outcome = verdict == Verdict.NOT_RUN
                ? notRun(RefusalReason.COPY_REFUSED, Step.COPY_WAIT)
                : new Outcome.Answered(content(response, done));
        pool.ended(done, outcome, notice);
        body.discard();
    }

    private AnswerContent content(HttpResponse response, CopyExchange done) {
        boolean head = done.request().content().method().equals(HttpMethod.HEAD.name());
        // The entry server adds the request's name to the answer, so sending it between nodes is unnecessary.
        response.headers().remove(pool.dialect().requestName());
        return new AnswerContent(
                response.status().code(),
                HeaderFilter.ofAnswer(response.headers().entries(), head),
                body.whole());
    }

    /** Returns the connection to the pool only now, when all bytes that arrived with the answer have been decoded. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (exchange.isEmpty() && decoder.hasUndecodedBytes() && reusable) {
            closeBroken();
        }
        releaseIfDone();
    }

    private void releaseIfDone() {
        if (answerComplete && requestWritten) {
            answerComplete = false;
            if (reusable) {
                idleSinceNanos = System.nanoTime();
                pool.release(this);
            } else {
                close(ConnectionEnd.IDLE);
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        reusable = false;
        pool.closed(this);
        if (exchange.isPresent()) {
            lost();
        }
    }

    /**
     * Ends the request before the end of the connection is processed. Guards against a reset in the middle of an answer
     * without length: the decoder treats any end of the connection as the end of such an answer.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        pool.failed(cause);
        close(ConnectionEnd.COPY_RESET);
        if (exchange.isPresent()) {
            lost();
        }
    }

    /** Ends an exchange because of what the copy sent; the copy is running. */
    private void endBroken(ConnectionEnd reason) {
        pool.count(ConnectionFault.COPY_BROKEN);
        close(reason);
        removeLost().ifPresent(broken -> pool.ended(broken.exchange(), broken.outcome()));
    }

    /** Ends an exchange because its connection ended; the copy may have ended as well. */
    private void lost() {
        removeLost().ifPresent(pool::broken);
    }

    private Optional<BrokenExchange> removeLost() {
        Optional<BrokenExchange> lost = exchange.map(current -> new BrokenExchange(
                current,
                new Outcome.Unknown(
                        answer.isPresent() ? UnknownReason.TRUNCATED : UnknownReason.COPY_LOST,
                        Step.COPY_WAIT,
                        Optional.empty())));
        logEnd();
        exchange = Optional.empty();
        answer = Optional.empty();
        body.discard();
        return lost;
    }

    /** Cancels the running request by closing its connection to the copy. */
    void cancel() {
        recordEnd(ConnectionEnd.CANCELLED);
        logEnd();
        // Closing may fail a pending write, which must not be treated as the end of a request.
        exchange = Optional.empty();
        answer = Optional.empty();
        body.discard();
        close(ConnectionEnd.CANCELLED);
    }

    private void logEnd() {
        exchange.ifPresent(
                current -> pool.logEnd(current, endReason.orElse(ConnectionEnd.COPY_CLOSED), decoder.decodedBytes()));
    }

    private void closeBroken() {
        pool.count(ConnectionFault.COPY_BROKEN);
        close(ConnectionEnd.BAD_ANSWER);
    }

    void close(ConnectionEnd reason) {
        recordEnd(reason);
        if (reason.isOfThisNode()) {
            pool.closedHere(this);
        }
        close();
    }

    private void close() {
        reusable = false;
        channel.ifPresent(Channel::close);
    }

    /** Records why the connection ends; the first reason is kept. */
    private void recordEnd(ConnectionEnd reason) {
        endReason = endReason.or(() -> Optional.of(reason));
    }

    private static Outcome.NotRun notRun(RefusalReason reason, Step step) {
        return new Outcome.NotRun(reason, REFUSED_RETRY_AFTER, step, Optional.empty());
    }
}
