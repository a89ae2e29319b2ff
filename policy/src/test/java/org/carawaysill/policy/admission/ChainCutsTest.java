package org.carawaysill.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Priority;
import org.carawaysill.policy.message.PeerMessage.ServiceCut;
import org.junit.jupiter.api.Test;

class ChainCutsTest {

    private static final long MILLI = 1_000_000L;
    private static final ServiceName PARTIES = new ServiceName("parties");
    private static final ServiceName MANIFESTS = new ServiceName("manifests");

    private final ChainCuts cuts = new ChainCuts(new ServiceName("tracker"));

    private void learn(long now, String node, int parties, int manifests) {
        cuts.recordCuts(
                now,
                "lookup",
                new NodeName(node),
                List.of(new ServiceCut(PARTIES, parties), new ServiceCut(MANIFESTS, manifests)));
    }

    private boolean refuses(long now, String operation, int level) {
        return cuts.check(now, operation, new Priority(level)).isPresent();
    }

    @Test
    void refusesWhatTheLastHopWouldRefuse() {
        learn(0, "parties-1", 0, 200);
        assertEquals(
                MANIFESTS,
                cuts.check(0, "lookup", new Priority(199)).orElseThrow().service());
        assertTrue(!refuses(0, "lookup", 200));
        assertEquals(3, cuts.report(0, "lookup", 5).size());
    }

    @Test
    void leavesOperationsAloneThatDoNotReachIt() {
        learn(0, "parties-1", 0, 200);
        assertTrue(!refuses(0, "hours", 0));
        assertEquals(List.of(new ServiceCut(new ServiceName("tracker"), 7)), cuts.report(0, "hours", 7));
    }

    @Test
    void refusesOnlyWhatNoCopyTakes() {
        learn(0, "parties-1", 300, 0);
        learn(0, "parties-2", 100, 0);
        assertEquals(100, cuts.currentLevels(0).get(PARTIES));
        learn(1, "parties-2", 350, 0);
        assertEquals(300, cuts.currentLevels(1).get(PARTIES));
    }

    /**
     * Guards against a cut that outlives its overload: callers that obey it send nothing, so no answer reports that it has
     * been lifted, and requests are refused long after the overload.
     */
    @Test
    void fadesWithinASecondOfSilence() {
        learn(0, "parties-1", 0, 400);
        int last = 400;
        for (long now = 0; now <= 1_000 * MILLI; now += 10 * MILLI) {
            int level = cuts.currentLevels(now).get(MANIFESTS);
            assertTrue(level <= last);
            last = level;
        }
        assertEquals(400, cuts.currentLevels(400 * MILLI).get(MANIFESTS));
        assertEquals(200, cuts.currentLevels(700 * MILLI).get(MANIFESTS));
        assertEquals(0, last);
    }
}
