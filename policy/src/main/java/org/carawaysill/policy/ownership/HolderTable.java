package org.carawaysill.policy.ownership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.message.PeerMessage.HolderEntry;
import org.carawaysill.policy.time.Moment;

/**
 * Records the requests that must run at most once and were claimed here or handed over by a leaving holder.
 *
 * <p>Invariants: an identifier that was claimed and not released is in the table, or was minted no later than {@link
 * #forgottenMillis()}, or has no minting time and is older than the key lifetime; none of these is claimed again. Entries
 * and kept answers are bounded. Not thread safe: one thread owns it.
 */
public final class HolderTable {

    private static final Duration FULL_RETRY = Duration.ofSeconds(1);

    private final HolderSettings settings;
    private final Map<RequestIdentifier, HolderRecord> minted = new LinkedHashMap<>();
    private final Map<RequestIdentifier, HolderRecord> unminted = new LinkedHashMap<>();
    private final KeptAnswers answers;
    private long forgottenMillis = Long.MIN_VALUE;

    /**
     * Creates an empty table.
     *
     * @param settings the bounds
     */
    public HolderTable(HolderSettings settings) {
        this.settings = settings;
        this.answers = new KeptAnswers(settings.maximumAnswerBytes());
    }

    /**
     * Looks up an earlier attempt; this needs no lease.
     *
     * @param request the request
     * @param contentHash a hash of its content
     * @return the decision if an earlier attempt is recorded, else empty
     */
    public Optional<Claim> known(RequestIdentifier request, int contentHash) {
        return find(request).map(earlier -> decideRepeat(request, earlier, contentHash));
    }

    private Claim decideRepeat(RequestIdentifier request, HolderRecord earlier, int contentHash) {
        if (earlier.contentHash() != contentHash) {
            return new Claim.Refused(RefusalReason.DUPLICATE, settings.keyLifetime());
        }
        if (!earlier.finished()) {
            return new Claim.Running();
        }
        Optional<Outcome> outcome = answers.find(request);
        return outcome.isPresent()
                ? new Claim.Known(outcome.get())
                : new Claim.MayHaveRun(UnknownReason.EARLIER_ATTEMPT);
    }

    /**
     * Decides about an attempt, under a lease.
     *
     * @param now the moment
     * @param key the request, and when its identifier was minted
     * @param contentHash a hash of its content
     * @param vouch for which identifiers this node can vouch
     * @return the decision
     */
    Claim claim(Moment now, RequestKey key, int contentHash, Vouch vouch) {
        Optional<Claim> known = known(key.request(), contentHash);
        if (known.isPresent()) {
            return known.get();
        }
        Optional<Claim> rejected = checkMintingTime(now, key, vouch);
        if (rejected.isPresent()) {
            return rejected.get();
        }
        if (!makeRoom(now)) {
            return new Claim.Refused(RefusalReason.HOLDER_FULL, FULL_RETRY);
        }
        add(key, new HolderRecord(key.mintedMillis(), contentHash, now.nanos(), false));
        return new Claim.Run();
    }

    /**
     * Releases a claim on a request that was not handed to a copy and never will be.
     *
     * @param request the request
     */
    public void notRun(RequestIdentifier request) {
        boolean running = find(request).filter(held -> !held.finished()).isPresent();
        if (running) {
            minted.remove(request);
            unminted.remove(request);
        }
    }

    /**
     * Records the outcome of a request.
     *
     * @param request the request
     * @param outcome its outcome; {@link Outcome.NotRun} releases the claim
     */
    public void finished(RequestIdentifier request, Outcome outcome) {
        Optional<HolderRecord> running = find(request).filter(held -> !held.finished());
        if (running.isEmpty()) {
            return;
        }
        if (outcome instanceof Outcome.NotRun) {
            notRun(request);
            return;
        }
        add(new RequestKey(request, running.get().mintedMillis()), running.get().finish());
        answers.keep(request, outcome);
    }

    /**
     * Returns the number of recorded requests.
     *
     * @return the number of entries
     */
    public int size() {
        return minted.size() + unminted.size();
    }

    /** Returns the time until which identifiers were minted that may have been dropped, wall clock since 1970. */
    long forgottenMillis() {
        return forgottenMillis;
    }

    /** Returns all entries, for handover to the successors. */
    List<HolderEntry> entries() {
        List<HolderEntry> entries = new ArrayList<>(size());
        minted.forEach((request, held) -> entries.add(entry(request, held)));
        unminted.forEach((request, held) -> entries.add(entry(request, held)));
        return entries;
    }

    private HolderEntry entry(RequestIdentifier request, HolderRecord held) {
        return new HolderEntry(request, held.mintedMillis(), held.contentHash(), answers.find(request));
    }

    /**
     * Accepts an entry of a leaving holder; one that may still be running there counts as finished without an answer.
     *
     * @return whether there was room
     */
    boolean accept(Moment now, HolderEntry entry) {
        if (find(entry.request()).isPresent()) {
            return true;
        }
        if (!makeRoom(now)) {
            return false;
        }
        add(
                new RequestKey(entry.request(), entry.mintedMillis()),
                new HolderRecord(entry.mintedMillis(), entry.contentHash(), now.nanos(), true));
        entry.outcome().ifPresent(outcome -> answers.keep(entry.request(), outcome));
        return true;
    }

    private Optional<HolderRecord> find(RequestIdentifier request) {
        return Optional.ofNullable(minted.get(request)).or(() -> Optional.ofNullable(unminted.get(request)));
    }

    private void add(RequestKey key, HolderRecord added) {
        (key.mintedMillis().isPresent() ? minted : unminted).put(key.request(), added);
    }

    /** Returns why the minting time rules out a run; empty if this node can vouch that the identifier never ran. */
    private Optional<Claim> checkMintingTime(Moment now, RequestKey key, Vouch vouch) {
        if (!vouch.covers(now, key.mintedMillis(), settings)) {
            return Optional.of(new Claim.MayHaveRun(UnknownReason.RESTARTED));
        }
        OptionalLong mintedMillis = key.mintedMillis();
        if (mintedMillis.isEmpty()) {
            return Optional.empty();
        }
        long aheadMillis = mintedMillis.getAsLong() - now.epochMillis();
        long toleratedMillis = settings.futureTolerance().toMillis();
        if (aheadMillis > toleratedMillis + vouch.clockMarginMillis()) {
            return Optional.of(new Claim.Refused(RefusalReason.BAD_REQUEST, Duration.ofMillis(aheadMillis)));
        }
        long oldestMillis = Math.max(
                forgottenMillis, now.epochMillis() - settings.keyLifetime().toMillis());
        boolean vouched = mintedMillis.getAsLong() > oldestMillis && aheadMillis <= toleratedMillis;
        return vouched ? Optional.empty() : Optional.of(new Claim.MayHaveRun(UnknownReason.IDENTIFIER_TIME));
    }

    /**
     * Drops entries older than the key lifetime and, if the table is full, the oldest claims; returns whether there is room
     * for one more.
     *
     * <p>Guards against claiming a dropped identifier again: one with a minting time raises {@link #forgottenMillis()}, up
     * to which nothing is claimed; one without is dropped only after the key lifetime.
     */
    private boolean makeRoom(Moment now) {
        long expired = now.nanos() - settings.keyLifetime().toNanos();
        drop(minted, expired, 0);
        drop(unminted, expired, 0);
        int maximumBefore = settings.maximumEntries() - 1;
        drop(minted, now.nanos() - settings.leastLifetime().toNanos(), maximumBefore);
        return size() <= maximumBefore;
    }

    private void drop(Map<RequestIdentifier, HolderRecord> oldestFirst, long claimedBefore, int targetSize) {
        Iterator<Map.Entry<RequestIdentifier, HolderRecord>> entries =
                oldestFirst.entrySet().iterator();
        while (size() > targetSize && entries.hasNext()) {
            Map.Entry<RequestIdentifier, HolderRecord> oldest = entries.next();
            if (oldest.getValue().claimedNanos() > claimedBefore) {
                return;
            }
            entries.remove();
            answers.forget(oldest.getKey());
            oldest.getValue().mintedMillis().ifPresent(time -> forgottenMillis = Math.max(forgottenMillis, time));
        }
    }
}
