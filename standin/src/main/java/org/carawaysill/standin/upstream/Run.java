package org.carawaysill.standin.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The processing of one request in the copy: waits for a slot, works, calls deeper services one after the other, and
 * answers.
 *
 * <p>Invariant: ends exactly once, answered or cancelled, and then releases its slot. Not thread safe: used on the
 * event loop only.
 */
final class Run {

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;

    private enum State {
        WAITING,
        RUNNING,
        ENDED
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

    /** Starts the work, which takes at least a millisecond, and counts the run as started in the current log. */
    void start() {
        state = State.RUNNING;
        log = copy.log();
        log.started(request.trace(), request.match().index());
        long milliseconds =
                Math.max(1, Math.round(copy.drawWorkMilliseconds(request.match().operation())));
        workTimer = OptionalLong.of(copy.vertx().setTimer(milliseconds, timer -> callDeeper(0)));
    }

    /** Refuses the request; no part of it has run. */
    void refuse() {
        state = State.ENDED;
        exchange.response().setStatusCode(UNAVAILABLE).end();
    }

    /** Stops at once, because the caller has disconnected or the copy goes down. */
    void cancel() {
        if (state == State.ENDED) {
            return;
        }
        if (state == State.RUNNING) {
            log.cancelled();
        } else {
            copy.log().withdrawn();
        }
        workTimer.ifPresent(copy.vertx()::cancelTimer);
        deeperCall.ifPresent(DeeperCall::cancel);
        end();
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
        if (state == State.ENDED) {
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
        if (state != State.ENDED) {
            fail(failure instanceof DeeperCallException deeper ? deeper.outcome() : Optional.empty());
        }
    }

    private void complete() {
        log.completed();
        GraphOperation operation = request.match().operation();
        AnswerBody body = new AnswerBody(request.traceText(), operation.name(), copy.chain(chains));
        exchange.response().putHeader("Content-Type", "application/json").end(body.encode(operation.answerBytes()));
        end();
    }

    private void fail(Optional<String> outcome) {
        log.failed();
        // Relays the deeper node's outcome header, as a careless service would. Since this copy did run, a node that
        // forwarded the header would report a wrong outcome to the caller.
        outcome.ifPresent(value -> exchange.response().putHeader(DeeperCall.OUTCOME, value));
        exchange.response().setStatusCode(BAD_GATEWAY).end();
        end();
    }

    private void end() {
        state = State.ENDED;
        copy.remove(this);
    }
}
