package org.carawaysill.standin.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One request inside the copy, from its arrival to its answer: it waits, works, calls deeper services one after the
 * other, and answers.
 *
 * <p>Invariant: leaves the copy exactly once, answered or cancelled, and gives its slot back then. Not thread safe: used
 * on the event loop only.
 */
final class Run {

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;

    private enum State {
        WAITING,
        RUNNING,
        LEFT
    }

    private final UpstreamCopy copy;
    private final HttpServerRequest exchange;
    private final CopyRequest request;
    private final List<String> chains = new ArrayList<>(2);
    private RunLog log;
    private State state = State.WAITING;
    private OptionalLong workTimer = OptionalLong.empty();
    private Optional<DeeperCall> deeperCall = Optional.empty();

    Run(UpstreamCopy copy, HttpServerRequest exchange, CopyRequest request) {
        this.copy = copy;
        this.exchange = exchange;
        this.request = request;
        this.log = copy.log();
    }

    CopyRequest request() {
        return request;
    }

    /** Begins the work, a millisecond at least; the run counts as started from here on, in the log of this moment. */
    void begin() {
        state = State.RUNNING;
        log = copy.log();
        log.started(request.trace(), request.match().index());
        long milliseconds =
                Math.max(1, Math.round(copy.drawWorkMilliseconds(request.match().operation())));
        workTimer = OptionalLong.of(copy.vertx().setTimer(milliseconds, timer -> callDeeper(0)));
    }

    /** Refuses the request, of which nothing ran. */
    void refuse() {
        state = State.LEFT;
        exchange.response().setStatusCode(UNAVAILABLE).end();
    }

    /** Stops at once: the caller has gone away, or the copy goes down. */
    void cancel() {
        if (state == State.LEFT) {
            return;
        }
        if (state == State.RUNNING) {
            log.cancelled();
        } else {
            copy.log().withdrawn();
        }
        workTimer.ifPresent(copy.vertx()::cancelTimer);
        deeperCall.ifPresent(DeeperCall::cancel);
        leave();
    }

    /** Closes the connection without an answer. */
    void cutOff() {
        cancel();
        exchange.connection().close();
    }

    private void callDeeper(int index) {
        List<GraphCall> calls = request.match().operation().calls();
        if (index == calls.size()) {
            complete();
            return;
        }
        GraphCall call = calls.get(index);
        DeeperCall running = new DeeperCall(call.service());
        deeperCall = Optional.of(running);
        copy.call(call, request, running).onComplete(body -> answered(index, body), this::failed);
    }

    private void answered(int index, Buffer body) {
        if (state == State.LEFT) {
            return;
        }
        Optional<AnswerBody> own =
                AnswerBody.decode(body).filter(answer -> answer.trace().equals(request.traceText()));
        if (own.isEmpty()) {
            log.foreignAnswer();
            fail(Optional.empty());
            return;
        }
        chains.add(own.get().chain());
        callDeeper(index + 1);
    }

    private void failed(Throwable failure) {
        if (state != State.LEFT) {
            fail(failure instanceof DeeperCallException deeper ? deeper.outcome() : Optional.empty());
        }
    }

    private void complete() {
        log.completed();
        GraphOperation operation = request.match().operation();
        AnswerBody body = new AnswerBody(request.traceText(), operation.name(), copy.chain(chains));
        exchange.response().putHeader("Content-Type", "application/json").end(body.encode(operation.answerBytes()));
        leave();
    }

    private void fail(Optional<String> outcome) {
        log.failed();
        // Relays the deeper node's word as a careless service would; the copy itself did run, so a node that passed the
        // word on would tell the caller an untruth.
        outcome.ifPresent(value -> exchange.response().putHeader(DeeperCall.OUTCOME, value));
        exchange.response().setStatusCode(BAD_GATEWAY).end();
        leave();
    }

    private void leave() {
        state = State.LEFT;
        copy.left(this);
    }
}
