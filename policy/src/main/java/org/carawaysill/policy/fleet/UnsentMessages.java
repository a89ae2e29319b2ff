package org.carawaysill.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.message.PeerMessage;

/**
 * Answers and cancellations that could not be sent because the connection to their receiver had ended.
 *
 * <p>They are sent over the next connection to the same process, before anything else. Guards against an answer of a
 * copy that is thrown away while the node that waits for it connects again. Invariants: keeps a bounded number of
 * messages and of bytes, none longer than the other node waits for it; no process gets messages that were meant for its
 * predecessor. Not thread safe: owned by the policy.
 */
final class UnsentMessages {

    private static final int MAXIMUM_MESSAGES = 512;

    private static final long MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

    private final Effects effects;
    private final Map<NodeName, List<Kept>> byReceiver = new HashMap<>();
    private int messages;
    private long bodyBytes;

    private record Kept(PeerMessage message, long untilNanos) {

        private long bodyBytes() {
            return message instanceof PeerMessage.CopyAnswer answer
                            && answer.outcome() instanceof Outcome.Answered answered
                    ? answered.content().body().length()
                    : 0;
        }
    }

    UnsentMessages(Effects effects) {
        this.effects = effects;
    }

    /** Keeps a message if it is an answer or a cancellation and there is room for it. */
    void unsent(long now, NodeName receiver, PeerMessage message) {
        if (!isKept(message)) {
            return;
        }
        passTime(now);
        Kept kept = new Kept(message, now + LinkWaits.LIMIT.toNanos());
        if (messages < MAXIMUM_MESSAGES && bodyBytes + kept.bodyBytes() <= MAXIMUM_BODY_BYTES) {
            byReceiver.computeIfAbsent(receiver, _ -> new ArrayList<>()).add(kept);
            messages++;
            bodyBytes += kept.bodyBytes();
        }
    }

    /**
     * Returns whether a message is kept. The reply to a question is not: the next connection has a question of its own,
     * and the reply to the earlier one may be outdated by then.
     */
    private static boolean isKept(PeerMessage message) {
        return switch (message) {
            case PeerMessage.CopyAnswer answer -> !mayReplyToQuestion(answer.outcome());
            case PeerMessage.CancelAttempt _ -> true;
            default -> false;
        };
    }

    private static boolean mayReplyToQuestion(Outcome outcome) {
        return outcome instanceof Outcome.NotRun notRun
                && (notRun.reason() == RefusalReason.DUPLICATE
                        || notRun.reason() == RefusalReason.DEADLINE && notRun.step() == Step.QUEUE);
    }

    /** Sends the messages for a node that is connected again; drops them if it is another process. */
    void connected(long now, NodeName receiver, boolean sameProcess) {
        passTime(now);
        List<Kept> kept = byReceiver.remove(receiver);
        if (kept != null) {
            kept.forEach(this::forget);
            if (sameProcess) {
                kept.forEach(each -> effects.add(new FleetEffect.SendToPeer(receiver, each.message())));
            }
        }
    }

    /** Returns whether an answer waits for its receiver's connection. */
    boolean holdsAnswers() {
        return byReceiver.values().stream()
                .flatMap(List::stream)
                .anyMatch(kept -> kept.message() instanceof PeerMessage.CopyAnswer);
    }

    /** Drops the messages that nobody waits for any more. */
    void passTime(long now) {
        byReceiver
                .values()
                .forEach(kept -> kept.removeIf(each -> {
                    boolean late = each.untilNanos() <= now;
                    if (late) {
                        forget(each);
                    }
                    return late;
                }));
        byReceiver.values().removeIf(List::isEmpty);
    }

    private void forget(Kept kept) {
        messages--;
        bodyBytes -= kept.bodyBytes();
    }
}
