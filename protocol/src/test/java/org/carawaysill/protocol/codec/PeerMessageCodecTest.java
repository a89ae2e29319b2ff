package org.carawaysill.protocol.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.ConfigurationDocument;
import org.carawaysill.policy.message.PeerMessage.Heartbeat;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PeerMessage.PeerAnswer;
import org.carawaysill.policy.message.PeerMessage.PeerRequest;
import org.carawaysill.policy.message.PeerMessage.Purpose;
import org.carawaysill.protocol.codec.ProtocolFault.Kind;
import org.carawaysill.protocol.generated.Frame;
import org.carawaysill.protocol.generated.PeerRequestFrame;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerMessageCodecTest {

    private static final ServiceName SERVICE = new ServiceName("manifests");
    private static final LoadReport LOAD = new LoadReport(3, 10, 1, 128);

    private static PeerRequest request(long remainingNanos) {
        return new PeerRequest(
                new AttemptIdentifier(1, 2),
                new RequestIdentifier(3, 4),
                SERVICE,
                "issue",
                new CallerName("quay-gate"),
                new Priority(400),
                false,
                Optional.of("a key"),
                2,
                remainingNanos,
                1,
                Purpose.HOLD,
                new RequestContent("POST", "/bills/7/issue", List.of(), Body.ofText("{}")));
    }

    private static PeerAnswer answer(Duration retryAfter) {
        Outcome outcome = new Outcome.NotRun(RefusalReason.OVERLOAD, retryAfter, Step.ADMISSION, Optional.empty());
        return new PeerAnswer(new AttemptIdentifier(1, 2), outcome, 1, LOAD, List.of());
    }

    private static void assertFault(Kind kind, String field, Frame frame) {
        ProtocolFault fault = assertThrows(ProtocolFault.class, () -> PeerMessageCodec.decode(frame));
        assertEquals(kind, fault.kind());
        assertEquals(field, fault.field());
    }

    private static void assertRequestFault(Kind kind, String field, Consumer<PeerRequestFrame.Builder> change) {
        PeerRequestFrame.Builder altered = PeerMessageCodec.encode(request(1)).getPeerRequest().toBuilder();
        change.accept(altered);
        assertFault(kind, field, Frame.newBuilder().setPeerRequest(altered).build());
    }

    private static PeerMessage roundTrip(PeerMessage message) throws ProtocolFault {
        return PeerMessageCodec.decode(PeerMessageCodec.encode(message));
    }

    @Nested
    class Durations {

        /**
         * Guards against lost requests between two nodes under overload: a request's deadline passes between the
         * decision to send it and the sending, so its remaining time is negative. The receiver would reject it as
         * malformed input and close the connection, with all requests in flight on it.
         */
        @Test
        void aPassedDeadlineIsSentAsZero() throws ProtocolFault {
            assertEquals(request(0), roundTrip(request(-5)));
        }

        @Test
        void longDurationsAreClampedBeforeSending() throws ProtocolFault {
            Duration longest = Duration.ofDays(30);
            assertEquals(request(longest.toNanos()), roundTrip(request(Long.MAX_VALUE)));
            assertEquals(answer(longest), roundTrip(answer(Duration.ofSeconds(Long.MAX_VALUE))));
        }
    }

    @Nested
    class MalformedRequests {

        @Test
        void identifiersAndNamesAreRequired() {
            assertRequestFault(Kind.MISSING, "attempt", PeerRequestFrame.Builder::clearAttempt);
            assertRequestFault(Kind.MISSING, "request", PeerRequestFrame.Builder::clearRequest);
            assertRequestFault(Kind.MISSING, "service", frame -> frame.setService(" "));
            assertRequestFault(Kind.MISSING, "caller", PeerRequestFrame.Builder::clearCaller);
        }

        @Test
        void numbersOutOfRangeAreRefused() {
            assertRequestFault(Kind.OUT_OF_RANGE, "priority", frame -> frame.setPriority(Priority.MAXIMUM + 1));
            assertRequestFault(Kind.OUT_OF_RANGE, "priority", frame -> frame.setPriority(-1));
            assertRequestFault(Kind.OUT_OF_RANGE, "retry credits", frame -> frame.setRetryCredits(-1));
            assertRequestFault(Kind.OUT_OF_RANGE, "depth", frame -> frame.setDepth(Integer.MIN_VALUE));
            assertRequestFault(Kind.OUT_OF_RANGE, "remaining time", frame -> frame.setRemainingNanos(-1));
            assertRequestFault(Kind.OUT_OF_RANGE, "remaining time", frame -> frame.setRemainingNanos(Long.MAX_VALUE));
        }

        @Test
        void unknownPurposesAreRefused() {
            assertRequestFault(Kind.UNKNOWN_CODE, "purpose", PeerRequestFrame.Builder::clearPurpose);
            assertRequestFault(Kind.UNKNOWN_CODE, "purpose", frame -> frame.setPurposeValue(99));
        }

        @Test
        void aBodyHasItsLengthAndItsChecksum() {
            assertRequestFault(Kind.MISSING, "content", PeerRequestFrame.Builder::clearContent);
            assertRequestFault(
                    Kind.MISSING,
                    "body",
                    frame -> frame.setContent(frame.getContent().toBuilder().clearBody()));
            Frame frame = PeerMessageCodec.encode(request(1));
            assertFault(Kind.WRONG_LENGTH, "body", Frames.withBody(frame, new byte[] {'{'}));
            assertFault(Kind.WRONG_CHECKSUM, "body", Frames.withBody(frame, new byte[] {'{', '['}));
        }

        /**
         * Guards against request injection: a header value from another node contains a line break and a second
         * request. Written to the copy unchanged, it would make the copy run a request that no caller made.
         */
        @Test
        void headersAndPathsWithLineBreaksAreRefused() {
            assertContentFault("path", "/a HTTP/1.1\r\nX: y", "name", "value");
            assertContentFault("header name", "/a", "name\n", "value");
            assertContentFault("header value", "/a", "name", "value\r\n\r\nPOST /bills HTTP/1.1");
        }

        private void assertContentFault(String field, String path, String name, String value) {
            RequestContent content = new RequestContent("GET", path, List.of(new Header(name, value)), Body.EMPTY);
            assertRequestFault(Kind.BAD_TEXT, field, frame -> frame.setContent(ContentCodec.encode(content)));
        }
    }

    /** Guards against an invalid answer of a copy that ends the connection between two nodes, with all requests on it. */
    @Nested
    class InvalidAnswersOfCopies {

        private void check(int status, String name, String value) throws ProtocolFault {
            AnswerContent content = new AnswerContent(status, List.of(new Header(name, value)), Body.ofText("x"));
            PeerAnswer answer =
                    new PeerAnswer(new AttemptIdentifier(1, 2), new Outcome.Answered(content), 0, LOAD, List.of());
            PeerAnswer received = assertInstanceOf(PeerAnswer.class, roundTrip(answer));
            assertEquals(
                    new Outcome.Unknown(UnknownReason.TRUNCATED, Step.COPY_WAIT, Optional.empty()), received.outcome());
        }

        @ParameterizedTest
        @ValueSource(ints = {-1, 0, 20, 99, 100, 199, 600, 700, 1200, Integer.MAX_VALUE})
        void endTheirRequestIfTheStatusIsNoneOfAFinalAnswer(int status) throws ProtocolFault {
            check(status, "name", "value");
        }

        @Test
        void endTheirRequestIfAFieldCannotBePassedOn() throws ProtocolFault {
            check(200, "", "value");
            check(200, "a name", "value");
            check(200, "name\n", "value");
            check(200, "name", "value\r\nother: value");
            check(200, "name", "\0");
        }
    }

    @Nested
    class OtherMalformedFrames {

        @Test
        void emptyFramesAreNoMessages() {
            assertFault(Kind.UNEXPECTED_FRAME, "KIND_NOT_SET", Frame.getDefaultInstance());
        }

        @Test
        void anAnswerHasAnOutcomeAndALoad() {
            Frame frame = PeerMessageCodec.encode(answer(Duration.ZERO));
            assertFault(
                    Kind.MISSING,
                    "outcome",
                    frame.toBuilder()
                            .setPeerAnswer(frame.getPeerAnswer().toBuilder().clearOutcome())
                            .build());
            assertFault(
                    Kind.MISSING,
                    "load",
                    frame.toBuilder()
                            .setPeerAnswer(frame.getPeerAnswer().toBuilder().clearLoad())
                            .build());
        }

        @Test
        void refusalsHaveAKnownReason() {
            Frame frame = PeerMessageCodec.encode(answer(Duration.ZERO));
            var outcome = frame.getPeerAnswer().getOutcome().toBuilder();
            outcome.setNotRun(outcome.getNotRun().toBuilder().setReasonValue(1000));
            assertFault(
                    Kind.UNKNOWN_CODE,
                    "refusal reason",
                    frame.toBuilder()
                            .setPeerAnswer(frame.getPeerAnswer().toBuilder().setOutcome(outcome))
                            .build());
        }

        @Test
        void aDocumentIsWellFormedText() {
            Frame frame = PeerMessageCodec.encode(new ConfigurationDocument(SERVICE, 3, "x"));
            var broken = BodyCodec.encode(new byte[] {(byte) 0xc3});
            assertFault(
                    Kind.BAD_TEXT,
                    "text",
                    frame.toBuilder()
                            .setConfigurationDocument(
                                    frame.getConfigurationDocument().toBuilder().setText(broken))
                            .build());
        }

        @Test
        void versionsAreNotNegativeAndOfANamedService() {
            Frame frame = PeerMessageCodec.encode(new Heartbeat(1, LOAD, Map.of(SERVICE, 4L)));
            assertFault(
                    Kind.OUT_OF_RANGE,
                    "version",
                    frame.toBuilder()
                            .setHeartbeat(frame.getHeartbeat().toBuilder().putVersions("manifests", -4))
                            .build());
            assertFault(
                    Kind.MISSING,
                    "service",
                    frame.toBuilder()
                            .setHeartbeat(frame.getHeartbeat().toBuilder().putVersions("", 4))
                            .build());
        }

        @Test
        void aLoadReportMayAdmitNothing() throws ProtocolFault {
            LoadReport closed = new LoadReport(0, 1, 0, Priority.MAXIMUM + 1);
            assertEquals(new Heartbeat(1, closed, Map.of()), roundTrip(new Heartbeat(1, closed, Map.of())));
        }
    }
}
