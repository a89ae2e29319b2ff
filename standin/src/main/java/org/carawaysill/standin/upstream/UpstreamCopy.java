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
 * An upstream copy: its slots, its requests, its faults and its run log.
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

    /** Starts an empty log; requests that run at this moment are still counted in the log in which they started. */
    void resetLog() {
        log = emptyLog();
    }

    Behaviour behaviour() {
        return behaviour;
    }

    /**
     * Changes the faults. A copy that goes down cuts off its requests; a copy that comes up again is cold.
     *
     * @param changed the faults from now on
     */
    void behaviour(Behaviour changed) {
        boolean restarts = behaviour.down() && !changed.down();
        behaviour = changed;
        if (changed.down()) {
            // Waiting requests are cut off first: the slot of a running request that is cut off would otherwise start a
            // waiting one, and the run log would show work that started while the copy was down.
            pool.requests().forEach(Run::cutOff);
        }
        if (restarts) {
            serviceTime.restart(System.nanoTime());
        }
    }

    /**
     * Accepts a request whose body has been read.
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
            startOrRefuse(Optional.of(run));
        } else if (offer == SlotPool.Offer.REFUSED) {
            log.refused();
            run.refuse();
        }
    }

    /**
     * Removes a request and gives its slot to the first waiting request whose caller still waits for it.
     *
     * @param run the request to remove
     */
    void remove(Run run) {
        startOrRefuse(pool.remove(run));
    }

    private void startOrRefuse(Optional<Run> first) {
        Optional<Run> next = first;
        while (next.isPresent()) {
            Run candidate = next.get();
            if (!candidate.request().isTooLate(System.nanoTime())) {
                candidate.start();
                return;
            }
            log.shed();
            candidate.refuse();
            next = pool.remove(candidate);
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
