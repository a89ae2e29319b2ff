package org.carawaysill.standin.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * One upstream copy: its slots, its work, its faults and its run log.
 *
 * <p>Not thread safe: used on the event loop only.
 */
final class UpstreamCopy {

    private final Vertx vertx;
    private final UpstreamSettings settings;
    private final SlotPool<Run> pool;
    private final ServiceTime serviceTime;
    private final Optional<EgressClient> egress;
    private RunLog log;
    private Behaviour behaviour = Behaviour.NORMAL;

    UpstreamCopy(Vertx vertx, UpstreamSettings settings) {
        this.vertx = vertx;
        this.settings = settings;
        this.pool = new SlotPool<>(settings.slots(), settings.connections());
        this.serviceTime = new ServiceTime(
                new SplittableRandom(settings.seed()), settings.coldStartMilliseconds(), System.nanoTime());
        this.log = emptyLog();
        this.egress = settings.nodeEgress().map(address -> new EgressClient(vertx, address, settings.slots()));
    }

    Vertx vertx() {
        return vertx;
    }

    RunLog log() {
        return log;
    }

    /** Starts an empty log; what runs at this moment still counts in the one in which it started. */
    void resetLog() {
        log = emptyLog();
    }

    Behaviour behaviour() {
        return behaviour;
    }

    /**
     * Changes the faults. A copy that goes down cuts off what it has; one that comes up again is cold.
     *
     * @param changed the faults from now on
     */
    void behaviour(Behaviour changed) {
        boolean restarts = behaviour.down() && !changed.down();
        behaviour = changed;
        if (changed.down()) {
            // Those that wait go first: the slot of a running one that is cut off would start one that waits, and the
            // run log would show work that began while the copy was down.
            pool.requests().forEach(Run::cutOff);
        }
        if (restarts) {
            serviceTime.restart(System.nanoTime());
        }
    }

    /**
     * Takes a request in, its body read.
     *
     * @param exchange the request
     * @param match its operation
     */
    void accept(HttpServerRequest exchange, ServiceGraph.Match match) {
        Run run = new Run(this, exchange, CopyRequest.of(exchange, match, System.nanoTime()));
        if (behaviour.draining()) {
            log.refused();
            run.refuse();
            return;
        }
        exchange.response().closeHandler(closed -> run.cancel());
        SlotPool.Offer offer = pool.offer(run);
        if (offer == SlotPool.Offer.RUN) {
            beginOrShed(Optional.of(run));
        } else if (offer == SlotPool.Offer.REFUSED) {
            log.refused();
            run.refuse();
        }
    }

    /**
     * Takes a request out and gives its slot to the first that waits and is still wanted.
     *
     * @param run the request that leaves
     */
    void left(Run run) {
        beginOrShed(pool.leave(run));
    }

    private void beginOrShed(Optional<Run> first) {
        Optional<Run> next = first;
        while (next.isPresent()) {
            Run candidate = next.get();
            if (!candidate.request().isTooLate(System.nanoTime())) {
                candidate.begin();
                return;
            }
            log.shed();
            candidate.refuse();
            next = pool.leave(candidate);
        }
    }

    double drawWorkMilliseconds(GraphOperation operation) {
        return serviceTime.draw(System.nanoTime(), operation.serviceMilliseconds() * behaviour.slowdown());
    }

    Future<Buffer> call(GraphCall call, CopyRequest request, DeeperCall running) {
        return egress.orElseThrow().call(call, request, running, System.nanoTime());
    }

    String chain(List<String> deeper) {
        String service = settings.graph().service();
        return deeper.isEmpty() ? service : service + "(" + String.join(",", deeper) + ")";
    }

    JsonObject load() {
        boolean misleading = settings.falseLoad();
        return new JsonObject()
                .put("running", misleading ? 0 : pool.running())
                .put("waiting", misleading ? 0 : pool.waiting())
                .put("slots", settings.slots());
    }

    private RunLog emptyLog() {
        return new RunLog(settings.graph().operations(), settings.runLogEntries());
    }
}
