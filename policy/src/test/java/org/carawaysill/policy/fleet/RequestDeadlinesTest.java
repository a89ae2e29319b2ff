package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Credential;
import org.carawaysill.model.request.RequestContent;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestDeadlinesTest {

    private final RequestDeadlines deadlines = new RequestDeadlines();
    private long requests;

    private OutgoingRequest add(long deadlineNanos) {
        FleetEvent.RequestArrived arrival = new FleetEvent.RequestArrived(
                new ExchangeIdentifier(0, ++requests),
                "request",
                "host",
                Optional.empty(),
                Credential.NONE,
                new RequestContent("GET", "/", List.of(), Body.EMPTY));
        OutgoingRequest request = new OutgoingRequest(
                arrival,
                Routes.route("/", "service", true, 1, 1000, 500),
                new ServiceName("service"),
                new OutgoingRequest.Origin(
                        "root", Optional.empty(), 1, 0, 0, new NodeName("10.0.0.1"), Optional.empty()),
                0,
                deadlineNanos);
        deadlines.add(request);
        return request;
    }

    @Nested
    class ARequest {

        /** Guards against requests that are kept with their bodies until their deadlines, long after their answers. */
        @Test
        void thatHasEndedIsNotKept() {
            add(1);
            OutgoingRequest ended = add(2);
            deadlines.remove(ended);
            assertEquals(1, deadlines.count());
        }

        @Test
        void isDueByItsDeadline() {
            OutgoingRequest late = add(2);
            OutgoingRequest first = add(1);
            OutgoingRequest second = add(1);
            assertEquals(Optional.empty(), deadlines.takeDue(0));
            assertEquals(Optional.of(first), deadlines.takeDue(1));
            assertEquals(Optional.of(second), deadlines.takeDue(1));
            assertEquals(2, deadlines.nextNanos());
            assertEquals(Optional.of(late), deadlines.takeDue(2));
        }
    }
}
