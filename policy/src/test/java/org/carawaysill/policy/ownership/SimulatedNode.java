package org.carawaysill.policy.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.time.Moment;

/** Simulates one VM, its clocks, and the process that runs on it. Not thread safe. */
final class SimulatedNode {

    private static final long EPOCH_MILLIS = 1_700_000_000_000L;
    private static final double MAXIMUM_DRIFT = 0.01;

    final RosterMember member;
    private final double rate;
    private final long origin;
    private final long wallOffsetMillis;
    private long incarnation;
    private boolean up;
    private long pausedUntil;
    private boolean drained;
    private Holder holder;
    private ServiceConfiguration document;
    private final List<Runnable> waiting = new ArrayList<>();

    SimulatedNode(RosterMember member, Random random, long clockMarginMillis) {
        this.member = member;
        this.rate = 1 + (random.nextDouble() * 2 - 1) * MAXIMUM_DRIFT;
        this.origin = random.nextLong(1_000_000_000_000L);
        this.wallOffsetMillis = Math.round((random.nextDouble() - 0.5) * clockMarginMillis / 4);
    }

    Moment now(long real) {
        return new Moment(origin + (long) (real * rate), EPOCH_MILLIS + real / 1_000_000 + wallOffsetMillis);
    }

    /** Returns the real time at which this node's monotonic clock shows a value. */
    long real(long nanos) {
        return nanos == Long.MAX_VALUE ? Long.MAX_VALUE : (long) ((nanos - origin) / rate) + 1;
    }

    void start(long real, ServiceName service, LeaseSettings lease, HolderSettings settings) {
        incarnation = Math.max(incarnation + 1, now(real).epochMillis());
        holder = new Holder(member, incarnation, service, now(real), lease, settings);
        up = true;
        drained = false;
        pausedUntil = 0;
        waiting.clear();
    }

    void stop() {
        up = false;
        waiting.clear();
    }

    void pause(long untilReal) {
        pausedUntil = Math.max(pausedUntil, untilReal);
    }

    void drain() {
        drained = true;
    }

    void document(ServiceConfiguration read) {
        document = read;
    }

    ServiceConfiguration document() {
        return document;
    }

    boolean up() {
        return up;
    }

    boolean drained() {
        return drained;
    }

    boolean paused(long real) {
        return real < pausedUntil;
    }

    long pausedUntil() {
        return pausedUntil;
    }

    long incarnation() {
        return incarnation;
    }

    Holder holder() {
        return holder;
    }

    static long wallMillis(long real) {
        return EPOCH_MILLIS + real / 1_000_000;
    }
}
