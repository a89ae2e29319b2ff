package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.PeerMessage.RouteCost;
import org.carawaysill.policy.message.PeerMessage.RouteDemand;
import org.junit.jupiter.api.Test;

class BriefReportTest {

    private static final NodeName OTHER = new NodeName("10.0.0.2");
    private static final ServiceName DEEP = new ServiceName("deep");

    private final Peers peers = new Peers(new NodeName("10.0.0.1"), new Effects());

    private static NodeReport whole(int inFlight, float offered) {
        return new NodeReport(
                1,
                1,
                true,
                false,
                DEEP,
                new LoadReport(inFlight, 10, 0, 0),
                0,
                false,
                List.of(new RouteDemand("lookup", offered, offered)),
                List.of(new RouteCost("lookup", DEEP, 0.1f)));
    }

    @Test
    void keepsWhatWasToldBeforeAndTakesTheNewLoad() {
        peers.connected(0, OTHER);
        peers.reported(0, OTHER, whole(1, 5));
        peers.reported(1, OTHER, whole(7, 9).inBrief());
        NodeReport known = peers.reports().iterator().next();
        assertEquals(7, known.load().inFlight());
        assertEquals(whole(1, 5).demands(), known.demands());
        assertEquals(whole(1, 5).costs(), known.costs());
    }

    /** A node whose clients have gone must not count with what they asked for once. */
    @Test
    void isToldApartFromAWholeReportWithoutDemand() {
        peers.connected(0, OTHER);
        peers.reported(0, OTHER, whole(1, 5));
        NodeReport idle =
                new NodeReport(2, 1, true, false, DEEP, new LoadReport(0, 10, 0, 0), 0, false, List.of(), List.of());
        peers.reported(1, OTHER, idle);
        assertEquals(List.of(), peers.reports().iterator().next().demands());
    }
}
