package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.message.PeerMessage;

/**
 * Answers and cancellations that could not be sent because the connection to their receiver had ended or had no room.
 *
 * <p>They are sent over the next connection to the same process, before anything else, and again over a connection that
 * had no room. Guards against an answer of a copy that is thrown away while the node that waits for it connects again.
 * Invariants: keeps a bounded number of messages and of bytes, none longer than the other node waits for it, unless more
 * than {@link #MAXIMUM_SENT_AGAIN} are sent again at once; no process gets messages that were meant for its predecessor.
 * Not thread safe: owned by the policy.
 */
final class UnsentMessages {

    private static final int MAXIMUM_MESSAGES = 512;

    private static final long MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

    /** How long after a message found no room on a connection it is sent over it again. */
    static final Duration SEND_AGAIN_AFTER = Duration.ofMillis(30);

    /** The maximum number of messages that were sent again and whose limit is remembered. */
    private static final int MAXIMUM_SENT_AGAIN = 4096;

    private final Effects effects;
    private final Map<NodeName, List<Kept>> byReceiver = new HashMap<>();
    private final Map<Key, Long> sentAgainUntil = new HashMap<>();
    private int messages;
    private long bodyBytes;

    /** Identifies a message, which may be unsent several times. */
    private record Key(NodeName receiver, AttemptIdentifier attempt, boolean answer) {

        private static Key of(NodeName receiver, PeerMessage message) {
            return switch (message) {
                case PeerMessage.CopyAnswer answer -> new Key(receiver, answer.attempt(), true);
                case PeerMessage.CancelAttempt cancel -> new Key(receiver, cancel.attempt(), false);
                default -> throw new IllegalArgumentException("not kept: " + message);
            };
        }
    }

    private record Kept(Key key, PeerMessage message, long dueNanos, long untilNanos) {

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
        if (!(message instanceof PeerMessage.CopyAnswer || message instanceof PeerMessage.CancelAttempt)) {
            return;
        }
        dropLate(now);
        Key key = Key.of(receiver, message);
        Long known = sentAgainUntil.remove(key);
        long until = known == null ? now + LinkWaits.LIMIT.toNanos() : known;
        Kept kept = new Kept(key, message, now + SEND_AGAIN_AFTER.toNanos(), until);
        if (until > now && messages < MAXIMUM_MESSAGES && bodyBytes + kept.bodyBytes() <= MAXIMUM_BODY_BYTES) {
            byReceiver.computeIfAbsent(receiver, _ -> new ArrayList<>()).add(kept);
            messages++;
            bodyBytes += kept.bodyBytes();
        }
    }

    /**
     * Returns whether a message may be the reply to a question. It is not sent over another connection, which has a
     * question of its own: the reply to the earlier one may be outdated by then.
     */
    private static boolean mayReplyToQuestion(PeerMessage message) {
        return message instanceof PeerMessage.CopyAnswer answer
                && answer.outcome() instanceof Outcome.NotRun notRun
                && (notRun.reason() == RefusalReason.DUPLICATE
                        || notRun.reason() == RefusalReason.DEADLINE && notRun.step() == Step.QUEUE);
    }

    /** Sends the messages for a node that is connected again; drops them if it is another process. */
    void connected(long now, NodeName receiver, boolean sameProcess) {
        dropLate(now);
        List<Kept> kept = byReceiver.remove(receiver);
        if (kept != null) {
            kept.forEach(this::forget);
            if (sameProcess) {
                kept.stream()
                        .filter(each -> !mayReplyToQuestion(each.message()))
                        .forEach(this::send);
            }
        }
    }

    private void send(Kept kept) {
        if (sentAgainUntil.size() < MAXIMUM_SENT_AGAIN) {
            sentAgainUntil.put(kept.key(), kept.untilNanos());
        }
        effects.add(new FleetEffect.SendToPeer(kept.key().receiver(), kept.message()));
    }

    /** Sends the messages again that found no room on a connection that still exists. */
    void sendAgain(long now, Predicate<NodeName> isConnected) {
        if (now < nextNanos(isConnected)) {
            return;
        }
        dropLate(now);
        byReceiver.forEach((receiver, kept) -> {
            if (isConnected.test(receiver)) {
                kept.removeIf(each -> isSentAgain(now, each));
            }
        });
        byReceiver.values().removeIf(List::isEmpty);
    }

    private boolean isSentAgain(long now, Kept kept) {
        if (kept.dueNanos() > now) {
            return false;
        }
        forget(kept);
        send(kept);
        return true;
    }

    /** Returns when messages are sent again over the connections that exist. */
    long nextNanos(Predicate<NodeName> isConnected) {
        long next = Long.MAX_VALUE;
        for (Map.Entry<NodeName, List<Kept>> entry : byReceiver.entrySet()) {
            // The first was kept first.
            if (isConnected.test(entry.getKey())) {
                next = Math.min(next, entry.getValue().getFirst().dueNanos());
            }
        }
        return next;
    }

    /** Returns whether the answer to an attempt waits to be sent, be it a refusal; replies to questions don't count. */
    boolean holdsAnswerTo(NodeName receiver, AttemptIdentifier attempt) {
        return byReceiver.getOrDefault(receiver, List.of()).stream()
                .anyMatch(kept -> kept.key().answer()
                        && kept.key().attempt().equals(attempt)
                        && !mayReplyToQuestion(kept.message()));
    }

    /** Returns whether an answer waits for its receiver's connection. */
    boolean holdsAnswers() {
        return byReceiver.values().stream()
                .flatMap(List::stream)
                .anyMatch(kept -> kept.key().answer());
    }

    /** Drops the messages that nobody waits for any more. */
    void passTime(long now) {
        sentAgainUntil.values().removeIf(until -> until <= now);
        dropLate(now);
    }

    private void dropLate(long now) {
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
