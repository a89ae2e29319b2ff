package org.carawaysill.node.copy;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Invariant;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.node.exchange.CarawaysillHeaders;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.policy.effect.Effect;

/**
 * One attempt at the local copy, from the connection to the end of the answer.
 *
 * <p>Invariants: finishes exactly once; as "not run" only before {@code written}; unless it finished with a complete
 * answer, its connection is closed. Not thread safe: confined to the event loop.
 */
final class CopyExchange {

    private static final Duration UNREACHABLE_RETRY_AFTER = Duration.ofSeconds(1);

    private final Effect.SendToCopy effect;

    private final CopyClientSettings settings;

    private final Counters counters;

    private final BiConsumer<AttemptIdentifier, Outcome> whenFinished;

    private Optional<HttpClientRequest> written = Optional.empty();

    private boolean finished;

    CopyExchange(
            Effect.SendToCopy effect,
            CopyClientSettings settings,
            Counters counters,
            BiConsumer<AttemptIdentifier, Outcome> whenFinished) {
        this.effect = effect;
        this.settings = settings;
        this.counters = counters;
        this.whenFinished = whenFinished;
    }

    void start(HttpClient client) {
        guarded(() -> connect(client));
    }

    /**
     * Runs a step up to the write. HTTP can't represent some requests, such as one with an invalid method; without this
     * guard, such an attempt would never finish and its slot would never be freed.
     */
    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (IllegalArgumentException unwritable) {
            if (written.isEmpty()) {
                notRun(RefusalReason.BAD_REQUEST, Step.COPY_WRITE);
            } else {
                unknown(UnknownReason.COPY_LOST);
            }
        }
    }

    private void connect(HttpClient client) {
        if (remainingNanos() <= 0) {
            notRun(RefusalReason.DEADLINE, Step.COPY_CONNECT);
            return;
        }
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.valueOf(effect.content().method()))
                .setURI(effect.content().path());
        client.request(options)
                .onComplete(this::connected, failure -> notRun(RefusalReason.COPY_UNREACHABLE, Step.COPY_CONNECT));
    }

    private long remainingNanos() {
        return effect.deadlineNanos() - settings.nanoClock().getAsLong();
    }

    private void connected(HttpClientRequest request) {
        request.exceptionHandler(ignored -> lost());
        if (finished) {
            request.connection().close();
            return;
        }
        guarded(() -> writeInTime(request));
        if (written.isEmpty()) {
            request.connection().close();
        }
    }

    private void writeInTime(HttpClientRequest request) {
        if (remainingNanos() <= 0) {
            // A process that was paused may have late work when it resumes, and the copy would run requests that their
            // callers have given up. Therefore the deadline is checked last, directly before the write.
            notRun(RefusalReason.DEADLINE, Step.COPY_WRITE);
        } else {
            write(request);
        }
    }

    private void lost() {
        if (written.isPresent()) {
            unknown(UnknownReason.COPY_LOST);
        } else {
            notRun(RefusalReason.COPY_UNREACHABLE, Step.COPY_CONNECT);
        }
    }

    private void write(HttpClientRequest request) {
        RequestContent content = effect.content();
        content.headers().forEach(header -> request.headers().add(header.name(), header.value()));
        request.putHeader(CarawaysillHeaders.ATTEMPT, effect.attempt().toString());
        request.putHeader(CarawaysillHeaders.DEADLINE_MILLISECONDS, Long.toString(remainingMillis()));
        written = Optional.of(request);
        request.send(Buffer.buffer(content.body().bytes()))
                .onComplete(this::answerStarted, failure -> unknown(UnknownReason.COPY_LOST));
    }

    private long remainingMillis() {
        return Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos()));
    }

    private void answerStarted(HttpClientResponse response) {
        if (finished) {
            return;
        }
        AnswerReader reader = new AnswerReader(effect, settings.sizes().maximumBodyBytes());
        if (!reader.isOwn(response)) {
            counters.count(Invariant.OWN_ANSWER);
            unknown(UnknownReason.COPY_LOST);
            return;
        }
        reader.read(response)
                .thenAccept(answer -> answer.ifPresentOrElse(this::answered, () -> unknown(UnknownReason.TRUNCATED)));
    }

    private void answered(AnswerContent content) {
        finish(new Outcome.Answered(content));
    }

    /** Ends the attempt, reports whether it may have run, and closes its connection. */
    void cancel() {
        if (written.isEmpty()) {
            notRun(RefusalReason.CANCELLED, Step.COPY_CONNECT);
        } else {
            unknown(remainingNanos() <= 0 ? UnknownReason.DEADLINE : UnknownReason.COPY_LOST);
        }
    }

    private void notRun(RefusalReason reason, Step step) {
        finish(new Outcome.NotRun(reason, UNREACHABLE_RETRY_AFTER, step, Optional.empty()));
    }

    /**
     * Closes the connection permanently. Otherwise a late answer of this exchange would be matched to the next request
     * on the same connection.
     */
    private void unknown(UnknownReason reason) {
        if (!finished) {
            written.ifPresent(request -> request.connection().close());
            finish(new Outcome.Unknown(reason, Step.COPY_WAIT, Optional.empty()));
        }
    }

    private void finish(Outcome outcome) {
        if (!finished) {
            finished = true;
            whenFinished.accept(effect.attempt(), outcome);
        }
    }
}
