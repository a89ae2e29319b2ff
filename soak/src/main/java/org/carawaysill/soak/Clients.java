package org.carawaysill.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Invariant;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.policy.event.Event;

/**
 * Simulates callers that retry a request under the same key at random nodes until it is answered.
 *
 * <p>Not thread safe: one schedule owns it.
 */
final class Clients {

    /** Header that carries the caller's key along the call chain, for the run log. */
    static final String KEY_HEADER = "trace";

    private static final int HOPS = 2;
    private static final int MAXIMUM_TRIES = 5;
    private static final int OK = 200;
    private static final long TIMEOUT_NANOS = 1_600_000_000L;
    private static final long MAXIMUM_BACKOFF_NANOS = 400_000_000L;

    private final Schedule schedule;
    private final RandomGenerator random;
    private final List<Request> requests = new ArrayList<>();

    Clients(Schedule schedule, RandomGenerator random) {
        this.schedule = schedule;
        this.random = random;
    }

    void send() {
        Request request = new Request(key(), random.nextInt(3) == 0, random.nextInt(3) == 0 ? "desk" : "others");
        request.sentAt = schedule.now();
        requests.add(request);
        attempt(request);
    }

    private String key() {
        long minted = SimulatedNode.wallMillis(schedule.now());
        long high = minted << 16 | 0x7000L | random.nextLong(0x1000L);
        long low = random.nextLong() >>> 2 | 1L << 63;
        return new UUID(high, low).toString();
    }

    private void attempt(Request request) {
        request.tries++;
        SimulatedNode node = schedule.randomEntryNode();
        ExchangeIdentifier exchange = new ExchangeIdentifier(random.nextLong(), random.nextLong());
        int tryNumber = request.tries;
        RequestContent content = new RequestContent(
                request.post ? "POST" : "GET",
                request.post ? "/post" : "/read",
                List.of(new Header(KEY_HEADER, request.key)),
                Body.EMPTY);
        node.open(
                exchange,
                outcome -> ended(request, tryNumber, outcome),
                new Event.CallerRequest(exchange, new CallerName(request.caller), Optional.of(request.key), content));
        schedule.eventQueue().in(TIMEOUT_NANOS, () -> {
            if (!request.done && request.tries == tryNumber) {
                node.close(exchange);
                ended(request, tryNumber, Optional.empty());
            }
        });
    }

    private void ended(Request request, int tryNumber, Optional<Outcome> outcome) {
        if (request.done || request.tries != tryNumber || request.waiting) {
            return;
        }
        schedule.journal().note(schedule.now(), request.key + " try " + tryNumber + " gets " + outcome);
        boolean notRun = outcome.filter(Outcome.NotRun.class::isInstance).isPresent();
        request.onlyRefused &= notRun;
        if (notRun && request.post && schedule.runLog().count(request.key) > 0) {
            schedule.journal()
                    .breach(
                            schedule.now(),
                            Invariant.NOT_RUN_IS_TRUE,
                            request.key + " is refused after it ran: " + outcome.get());
        }
        if (outcome.isPresent() && outcome.get() instanceof Outcome.Answered(AnswerContent answer)) {
            checkOwnAnswer(request.key, answer);
            request.answered |= answer.status() == OK;
        }
        if (request.answered || request.tries == MAXIMUM_TRIES) {
            request.done = true;
        } else {
            request.waiting = true;
            schedule.eventQueue().in(random.nextLong(MAXIMUM_BACKOFF_NANOS), () -> {
                request.waiting = false;
                attempt(request);
            });
        }
    }

    void checkOwnAnswer(String key, AnswerContent answer) {
        if (!answer.body().equals(Body.ofText(key))) {
            schedule.journal().breach(schedule.now(), Invariant.OWN_ANSWER, key + " got another's answer");
        }
    }

    /** Checks, at the end of a schedule, the outcomes that callers received against the run log. */
    void checkOutcomes(int rosters) {
        for (Request request : requests) {
            int runs = schedule.runLog().count(request.key);
            if (request.onlyRefused && runs > 0) {
                schedule.journal()
                        .breach(schedule.now(), Invariant.NOT_RUN_IS_TRUE, request.key + " was refused, yet it ran");
            }
            int bound = HOPS * (1 + Topology.RETRY_CREDITS) * rosters;
            if (runs > bound) {
                schedule.journal()
                        .breach(
                                schedule.now(),
                                Invariant.RETRY_BOUND,
                                request.key + " ran " + runs + " times, bound " + bound);
            }
        }
    }

    long sent(long from) {
        return requests.stream().filter(request -> request.sentAt >= from).count();
    }

    long answered(long from) {
        return requests.stream()
                .filter(request -> request.sentAt >= from && request.answered)
                .count();
    }

    /** A request with the state of all its tries; mutable, owned by the schedule. */
    private static final class Request {
        private final String key;
        private final boolean post;
        private final String caller;
        private long sentAt;
        private int tries;
        private boolean waiting;
        private boolean onlyRefused = true;
        private boolean answered;
        private boolean done;

        Request(String key, boolean post, String caller) {
            this.key = key;
            this.post = post;
            this.caller = caller;
        }
    }
}
