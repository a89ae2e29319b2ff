package org.carawaysill.policy.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.RequestTerms;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/** Simulates copies with slots and a queue, called from several zones in virtual time. */
final class VirtualCopies {

    private static final int COPIES = 12;
    private static final int ZONES = 3;
    private static final int SLOTS = 10;
    private static final double SERVICE_NANOS = 50e6;
    private static final long NEAR_NANOS = 100_000;
    private static final long FAR_NANOS = 1_500_000;
    private static final long HEARTBEAT_NANOS = 3_000_000_000L;
    private static final long WARM_NANOS = 5_000_000_000L;

    /** The deviation from even load on equal copies. */
    enum Trouble {
        NONE,
        MOST_CALLERS_IN_ONE_ZONE,
        ONE_COPY_FIVE_TIMES_SLOWER,
        ONE_COPY_COLD
    }

    /** The latencies as seen by callers, and the share of requests to other zones. */
    record Result(double meanMillis, double p99Millis, double otherZone) {}

    private record Request(int caller, long sentNanos) {}

    private record Timed(long at, long order, Runnable action) {}

    private final Trouble trouble;
    private final double load;
    private final int callers;
    private final SplittableRandom random;
    private final PriorityQueue<Timed> queue =
            new PriorityQueue<>(Comparator.comparingLong(Timed::at).thenComparingLong(Timed::order));
    private final List<Deque<Request>> waiting = new ArrayList<>();
    private final int[] running = new int[COPIES];
    private final List<Long> latencies = new ArrayList<>();
    private final List<Balancer> balancers = new ArrayList<>();
    private long now;
    private long order;
    private long otherZone;

    VirtualCopies(Trouble trouble, double load, int callers, long seed) {
        this.callers = callers;
        this.trouble = trouble;
        this.load = load;
        this.random = new SplittableRandom(seed);
        IntStream.range(0, COPIES).forEach(_ -> waiting.add(new ArrayDeque<>()));
    }

    static NodeName name(int copy) {
        return new NodeName("copy-" + copy);
    }

    static int index(NodeName copy) {
        return Integer.parseInt(copy.value().substring("copy-".length()));
    }

    static AvailabilityZone zone(int index) {
        return new AvailabilityZone("zone-" + index % ZONES);
    }

    int count() {
        return COPIES;
    }

    /** Returns whether a copy is usable; a cold copy becomes usable after one second. */
    boolean isUsable(int copy, long time) {
        return trouble != Trouble.ONE_COPY_COLD || copy != 0 || time > 1_000_000_000L;
    }

    ServiceConfiguration roster(ServiceName service) {
        List<CopyEntry> copies = IntStream.range(0, COPIES)
                .mapToObj(i -> new CopyEntry(name(i), zone(i), "127.0.0.1", 1, SLOTS, 100))
                .toList();
        RequestTerms terms = new RequestTerms(Importance.ORDINARY, true, 0, Duration.ofSeconds(1));
        return ServiceConfiguration.builder(service, 1, copies).defaults(terms).build();
    }

    Result run(Balancer.Kind kind, Duration duration) {
        SplittableRandom choices = random.split();
        for (int caller = 0; caller < callers; caller++) {
            balancers.add(Balancer.of(kind, caller, this, choices.split()));
        }
        at(0, () -> arrive(duration.toNanos()));
        for (int copy = 0; copy < COPIES; copy++) {
            for (Balancer balancer : balancers) {
                int from = copy;
                at(random.nextLong(HEARTBEAT_NANOS), () -> sendHeartbeat(from, balancer, duration.toNanos()));
            }
        }
        while (!queue.isEmpty()) {
            Timed next = queue.poll();
            now = next.at;
            next.action.run();
        }
        Collections.sort(latencies);
        double mean = latencies.stream().mapToLong(Long::longValue).average().orElseThrow() / 1e6;
        return new Result(
                mean, latencies.get(latencies.size() * 99 / 100) / 1e6, (double) otherZone / latencies.size());
    }

    private void arrive(long end) {
        if (now > end) {
            return;
        }
        double gap = SERVICE_NANOS / (load * COPIES * SLOTS);
        at(now + (long) (-Math.log(1 - random.nextDouble()) * gap), () -> arrive(end));
        int caller = random.nextInt(callers);
        if (trouble == Trouble.MOST_CALLERS_IN_ONE_ZONE && random.nextInt(10) < 6) {
            caller -= caller % ZONES;
        }
        Request request = new Request(caller, now);
        int copy = balancers.get(caller).choose(now);
        balancers.get(caller).sent(now, copy);
        otherZone += zone(caller).equals(zone(copy)) ? 0 : 1;
        at(now + networkDelayNanos(caller, copy), () -> enter(copy, request));
    }

    private void sendHeartbeat(int copy, Balancer to, long end) {
        LoadReport reported = load(copy);
        at(now + FAR_NANOS, () -> to.loadReported(now, copy, reported));
        if (now < end) {
            at(now + HEARTBEAT_NANOS, () -> sendHeartbeat(copy, to, end));
        }
    }

    private LoadReport load(int copy) {
        return new LoadReport(running[copy], SLOTS, waiting.get(copy).size(), 0);
    }

    private static long networkDelayNanos(int caller, int copy) {
        return zone(caller).equals(zone(copy)) ? NEAR_NANOS : FAR_NANOS;
    }

    private void enter(int copy, Request request) {
        if (running[copy] < SLOTS) {
            start(copy, request);
        } else {
            waiting.get(copy).add(request);
        }
    }

    private void start(int copy, Request request) {
        running[copy]++;
        double slower = copy == 0 ? slowdown() : 1;
        at(now + (long) (-Math.log(1 - random.nextDouble()) * SERVICE_NANOS * slower), () -> finish(copy, request));
    }

    private double slowdown() {
        return switch (trouble) {
            case ONE_COPY_FIVE_TIMES_SLOWER -> 5;
            case ONE_COPY_COLD -> Math.max(1, 5 - 4.0 * (now - 1_000_000_000L) / WARM_NANOS);
            case NONE, MOST_CALLERS_IN_ONE_ZONE -> 1;
        };
    }

    private void finish(int copy, Request request) {
        running[copy]--;
        LoadReport reported = load(copy);
        at(now + networkDelayNanos(request.caller, copy), () -> {
            long latency = now - request.sentNanos;
            latencies.add(latency);
            balancers.get(request.caller).answered(now, copy, reported, latency);
        });
        if (!waiting.get(copy).isEmpty()) {
            start(copy, waiting.get(copy).poll());
        }
    }

    private void at(long time, Runnable action) {
        queue.add(new Timed(time, order++, action));
    }
}
