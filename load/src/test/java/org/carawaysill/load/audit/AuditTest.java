package org.carawaysill.load.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.carawaysill.load.client.AnswerFault;
import org.carawaysill.load.client.RequestRecord;
import org.carawaysill.load.client.TryResult;
import org.carawaysill.load.client.TryResult.Broken;
import org.carawaysill.load.client.TryResult.NotRun;
import org.carawaysill.load.client.TryResult.TimedOut;
import org.carawaysill.load.client.TryResult.Whole;
import org.carawaysill.load.schedule.Arrival;
import org.carawaysill.load.site.Hop;
import org.carawaysill.load.site.SmallSite;
import org.carawaysill.model.identity.ServiceName;
import org.junit.jupiter.api.Test;

class AuditTest {

    private static final Hop LOOKUP = new Hop(new ServiceName("entry"), "item-lookup");
    private static final Hop ORDER = new Hop(new ServiceName("entry"), "item-order");
    private static final Hop STOCK = new Hop(new ServiceName("deep"), "stock");
    private static final TryResult REFUSED = new NotRun("OVERLOAD", Duration.ofSeconds(1));

    private final RunLog runLog = new RunLog();

    private Map<Violation, Integer> violations(String operation, TryResult... tries) {
        Arrival arrival = new Arrival(0, 0, SmallSite.operation(operation), 1);
        RequestRecord request = new RequestRecord(arrival, "trace", 0, List.of(tries), 1);
        return new Audit(SmallSite.read().graph(), List.of(request), runLog, NodeCounters.none()).violations();
    }

    @Test
    void findsNothingWrongWithARequestThatRanOnce() {
        runLog.add("trace", LOOKUP, 1);
        runLog.add("trace", STOCK, 1);
        assertEquals(Map.of(), violations("lookup", REFUSED, new Whole()));
    }

    @Test
    void findsARefusedRequestThatRan() {
        // Guards against an unnoticed run of a request whose caller got "not run" twice. A copy deep in the chain has
        // run
        // it: a node took the deeper refusal that the copy relayed for a refusal of the copy itself.
        runLog.add("trace", LOOKUP, 1);
        assertEquals(Map.of(Violation.NOT_RUN_RAN, 1), violations("lookup", REFUSED, REFUSED));
    }

    @Test
    void holdsNothingAgainstARunWhoseCallerWasNotToldThatThereWasNone() {
        runLog.add("trace", LOOKUP, 1);
        assertEquals(Map.of(), violations("lookup", new TimedOut(), REFUSED));
    }

    @Test
    void findsAnOrderThatTwoCopiesRan() {
        // Guards against a duplicate run at two copies that goes unnoticed. A client's first try times out after one
        // copy
        // has started it, and another copy runs the second try; only the logs of both copies together show two runs.
        runLog.add("trace", ORDER, 1);
        runLog.add("trace", ORDER, 1);
        assertEquals(Map.of(Violation.RAN_TWICE, 1), violations("order", new TimedOut(), new Whole()));
    }

    @Test
    void allowsTheIdempotentPartOfAnOrderToRunTwice() {
        runLog.add("trace", ORDER, 1);
        runLog.add("trace", STOCK, 2);
        assertEquals(Map.of(), violations("order", new Whole()));
    }

    @Test
    void findsMoreRunsThanTheCreditsAllow() {
        runLog.add("trace", LOOKUP, 1);
        runLog.add("trace", STOCK, 4);
        assertEquals(Map.of(Violation.RETRY_BOUND, 1), violations("lookup", new Whole()));
    }

    @Test
    void findsAnswersThatAreForeignIncompleteOrFromNowhere() {
        Broken foreign = new Broken(AnswerFault.FOREIGN);
        Broken truncated = new Broken(AnswerFault.TRUNCATED);
        assertEquals(
                Map.of(
                        Violation.FOREIGN_ANSWER, 1,
                        Violation.INCOMPLETE_ANSWER, 1,
                        Violation.ANSWERED_NOT_RUN, 1),
                violations("lookup", foreign, truncated, new Whole()));
    }
}
