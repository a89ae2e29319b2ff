package org.carawaysill.policy.ownership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.request.Outcome;

/**
 * Caches the outcomes of finished requests for callers that repeat them.
 *
 * <p>Invariant: the bytes of all kept outcomes stay within the budget; the oldest are evicted first. Not thread safe: one
 * thread owns it.
 */
final class KeptAnswers {

    /** The approximate size of one outcome's objects and references, without its text. */
    private static final int FIXED_BYTES = 160;

    private static final int MAXIMUM_ANSWER_DIVISOR = 8;

    private final long budgetBytes;
    private final Map<RequestIdentifier, Outcome> outcomes = new LinkedHashMap<>();
    private long bytes;

    KeptAnswers(long budgetBytes) {
        this.budgetBytes = budgetBytes;
    }

    /** Keeps an outcome, unless it alone would take more than an eighth of the budget. */
    void keep(RequestIdentifier request, Outcome outcome) {
        long size = size(outcome);
        if (size > budgetBytes / MAXIMUM_ANSWER_DIVISOR) {
            return;
        }
        forget(request);
        outcomes.put(request, outcome);
        bytes += size;
        Iterator<Outcome> oldest = outcomes.values().iterator();
        while (bytes > budgetBytes) {
            bytes -= size(oldest.next());
            oldest.remove();
        }
    }

    Optional<Outcome> find(RequestIdentifier request) {
        return Optional.ofNullable(outcomes.get(request));
    }

    void forget(RequestIdentifier request) {
        Outcome forgotten = outcomes.remove(request);
        if (forgotten != null) {
            bytes -= size(forgotten);
        }
    }

    long bytes() {
        return bytes;
    }

    static long size(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered answered -> FIXED_BYTES + textBytes(answered);
            case Outcome.NotRun notRun -> FIXED_BYTES;
            case Outcome.Unknown unknown -> FIXED_BYTES;
        };
    }

    private static long textBytes(Outcome.Answered answered) {
        long headerBytes = answered.content().headers().stream()
                .mapToLong(header -> header.name().length() + header.value().length())
                .sum();
        return headerBytes + answered.content().body().length();
    }
}
