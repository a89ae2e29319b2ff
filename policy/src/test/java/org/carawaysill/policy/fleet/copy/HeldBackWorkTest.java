package org.carawaysill.policy.fleet.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.junit.jupiter.api.Test;

/** What happens beside long work that waits although slots are free, since short work will need them. */
class HeldBackWorkTest {

    private static final int SLOTS = 8;
    private static final int LONG_RUNS = 8;

    private final GateLoad load = new GateLoad(1, SLOTS, Set.of(), ClassQueue.Order.LEAST_SLACK);
    private final CopyGate gate = load.gate;

    private void offerLongWork() {
        for (int i = 0; i < LONG_RUNS; i++) {
            gate.offer(0, load.run(GateLoad.LONG, "caller", 0));
        }
        gate.startNext(0);
        assertTrue(
                gate.load(0).queued() > 0
                        && gate.load(0).inFlight() < gate.load(0).limit(),
                "no long work is held back");
    }

    /* Guards against long work that waits beside free slots until a run ends, though no short work comes. */
    @Test
    void startsOnceTimeHasShownThatNoShortWorkComes() {
        offerLongWork();
        long now = 0;
        for (int steps = 0;
                steps < 40 && gate.load(now).inFlight() < gate.load(now).limit();
                steps++) {
            long next = gate.nextReleaseNanos();
            assertTrue(next > now, "is not released by time alone");
            now = next;
            gate.startNext(now);
        }
        assertEquals(gate.load(now).limit(), gate.load(now).inFlight());
        assertTrue(now < GateLoad.SECOND, "held back for " + now);
    }

    /* Guards against short work that a copy with a limit of its own sends back because long work is held back there. */
    @Test
    void doesNotSendShortWorkBack() {
        gate.limitRate(0, OptionalDouble.of(1000));
        offerLongWork();
        long now = 50 * GateLoad.MILLI;
        load.now = now;
        CopyRequest request = load.run(GateLoad.CALL, "caller", now).request();
        CopyRequest withOtherChoice = new CopyRequest(
                request.attempt(),
                request.requestName(),
                request.service(),
                request.copy(),
                request.callerService(),
                request.organisation(),
                request.rootRoute(),
                request.rank(),
                request.idempotent(),
                request.depth(),
                request.rootAgeNanos(),
                request.remainingNanos(),
                false,
                request.knownLimit(),
                request.route(),
                request.caller(),
                false,
                request.content());
        CopyGate.Offered offered = gate.offer(now, new LocalRun(withOtherChoice, Optional.empty(), now));
        assertInstanceOf(CopyGate.Offered.Started.class, offered);
        assertEquals(List.of(), gate.takeOverdue(now, 0));
    }
}
