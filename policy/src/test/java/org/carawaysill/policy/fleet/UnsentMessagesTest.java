package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.CancelAttempt;
import org.carawaysill.policy.message.PeerMessage.CopyAnswer;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.junit.jupiter.api.Test;

class UnsentMessagesTest {

    private static final NodeName ONE = new NodeName("10.1.1.1");
    private static final NodeName OTHER = new NodeName("10.1.1.2");

    private final Effects effects = new Effects();
    private final UnsentMessages messages = new UnsentMessages(effects);

    private static PeerMessage answer(int number, Body body) {
        return new CopyAnswer(
                new AttemptIdentifier(0, number), Outcomes.good(body), new LoadReport(0, 1, 0, 0), List.of(), false);
    }

    private List<PeerMessage> sentTo(NodeName receiver, long now, boolean sameProcess) {
        messages.connected(now, receiver, sameProcess);
        return effects.drain().stream()
                .filter(FleetEffect.SendToPeer.class::isInstance)
                .map(FleetEffect.SendToPeer.class::cast)
                .filter(send -> send.peer().equals(receiver))
                .map(FleetEffect.SendToPeer::message)
                .toList();
    }

    // Guards against answers that reach another node, come out of order, or come twice.
    @Test
    void areSentOnceInOrderToTheirReceiver() {
        PeerMessage first = answer(1, Body.EMPTY);
        PeerMessage second = new CancelAttempt(new AttemptIdentifier(0, 2));
        messages.unsent(0, ONE, first);
        messages.unsent(0, ONE, second);
        assertEquals(List.of(), sentTo(OTHER, 1, true));
        assertEquals(List.of(first, second), sentTo(ONE, 1, true));
        assertEquals(List.of(), sentTo(ONE, 1, true));
    }

    // Guards against an answer that reaches the successor of the process that asked for it.
    @Test
    void areDroppedForAnotherProcess() {
        messages.unsent(0, ONE, answer(1, Body.EMPTY));
        assertEquals(List.of(), sentTo(ONE, 1, false));
        assertEquals(List.of(), sentTo(ONE, 2, true));
    }

    // Guards against reports and questions that are sent late, when they are outdated.
    @Test
    void ofOtherKindsAreNotKept() {
        messages.unsent(0, ONE, new PeerMessage.ReportWanted());
        assertEquals(List.of(), sentTo(ONE, 1, true));
    }

    // Guards against a node that keeps answers for a node that never returns.
    @Test
    void areDroppedAfterTheLimit() {
        long limit = LinkWaits.LIMIT.toNanos();
        messages.unsent(0, ONE, answer(1, Body.EMPTY));
        messages.unsent(1, ONE, answer(2, Body.EMPTY));
        assertEquals(List.of(answer(2, Body.EMPTY)), sentTo(ONE, limit, true));
    }

    private List<PeerMessage> sentAgain(long now, boolean connected) {
        messages.sendAgain(now, _ -> connected);
        return effects.drain().stream()
                .filter(FleetEffect.SendToPeer.class::isInstance)
                .map(each -> ((FleetEffect.SendToPeer) each).message())
                .toList();
    }

    // Guards against messages that are sent again without a pause, without a connection, or more than once.
    @Test
    void areSentAgainOverAConnectionThatHadNoRoom() {
        long due = UnsentMessages.SEND_AGAIN_AFTER.toNanos();
        messages.unsent(0, ONE, answer(1, Body.EMPTY));
        assertEquals(due, messages.nextNanos(_ -> true));
        assertEquals(Long.MAX_VALUE, messages.nextNanos(_ -> false));
        assertEquals(List.of(), sentAgain(due - 1, true));
        assertEquals(List.of(), sentAgain(due, false));
        assertEquals(List.of(answer(1, Body.EMPTY)), sentAgain(due, true));
        assertEquals(List.of(), sentAgain(2 * due, true));
        assertEquals(Long.MAX_VALUE, messages.nextNanos(_ -> true));
    }

    // Guards against a message that is sent again for ever to a node that reads nothing.
    @Test
    void areSentAgainUntilTheLimitOfTheFirstTime() {
        long now = 0;
        int sent = 0;
        messages.unsent(now, ONE, answer(1, Body.EMPTY));
        while (messages.nextNanos(_ -> true) < Long.MAX_VALUE) {
            now = messages.nextNanos(_ -> true);
            for (PeerMessage message : sentAgain(now, true)) {
                sent++;
                messages.unsent(now, ONE, message);
            }
            messages.passTime(now);
        }
        assertEquals(LinkWaits.LIMIT.dividedBy(UnsentMessages.SEND_AGAIN_AFTER), sent);
    }

    // Guards against a reply to the question of an earlier connection that is taken for the present one's.
    @Test
    void thatReplyToQuestionsAreNotSentOverTheNextConnection() {
        for (RefusalReason reason : List.of(RefusalReason.DUPLICATE, RefusalReason.DEADLINE)) {
            PeerMessage reply = new CopyAnswer(
                    new AttemptIdentifier(0, 1),
                    new Outcome.NotRun(reason, Duration.ofMillis(50), Step.QUEUE, Optional.empty()),
                    new LoadReport(0, 1, 0, 0),
                    List.of(),
                    false);
            messages.unsent(0, ONE, reply);
            assertEquals(List.of(), sentTo(ONE, 1, true));
            messages.unsent(1, ONE, reply);
            assertEquals(List.of(reply), sentAgain(1 + UnsentMessages.SEND_AGAIN_AFTER.toNanos(), true));
        }
    }

    // Guards against a node that runs out of memory while it has lost its links.
    @Test
    void areBoundedInNumberAndBytes() {
        IntStream.range(0, 1000).forEach(i -> messages.unsent(0, ONE, answer(i, Body.EMPTY)));
        assertEquals(512, sentTo(ONE, 1, true).size());
        Body large = Body.ofText("x".repeat(3 * 1024 * 1024));
        IntStream.range(0, 5).forEach(i -> messages.unsent(0, i % 2 == 0 ? ONE : OTHER, answer(i, large)));
        assertEquals(1, sentTo(ONE, 1, true).size());
        messages.unsent(1, ONE, answer(9, large));
        assertEquals(1, sentTo(ONE, 1, true).size());
        assertEquals(1, sentTo(OTHER, 1, true).size());
    }
}
