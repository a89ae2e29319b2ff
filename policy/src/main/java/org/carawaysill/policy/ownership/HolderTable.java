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
 * What this node knows of requests that must run at most once.
 *
 * <p>Invariants: an identifier that was claimed and not released is in the table, or was minted no later than the
 * forgotten time, or has no minting time and is older than the key lifetime; none of these is claimed again. Entries and
 * kept answers are bounded. Not thread safe: one thread owns it.
 */
public final class HolderTable {

    private static final Duration FULL_RETRY = Duration.ofSeconds(1);

    private final HolderSettings settings;
    private final Map<RequestIdentifier, HolderRecord> minted = new LinkedHashMap<>();
    private final Map<RequestIdentifier, HolderRecord> unminted = new LinkedHashMap<>();
    private final KeptAnswers answers;
    private long forgottenMillis = Long.MIN_VALUE;

    /**
     * Makes an empty table.
     *
     * @param settings the bounds
     */
    public HolderTable(HolderSettings settings) {
        this.settings = settings;
        this.answers = new KeptAnswers(settings.maximumAnswerBytes());
    }

    /**
     * Looks for an earlier attempt, with or without a lease.
     *
     * @param request the request
     * @param contentHash a hash of its content
     * @return what is known of it here; empty for nothing
     */
    public Optional<Claim> known(RequestIdentifier request, int contentHash) {
        return find(request).map(earlier -> repeat(request, earlier, contentHash));
    }

    private Claim repeat(RequestIdentifier request, HolderRecord earlier, int contentHash) {
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
     * @return what may be done
     */
    Claim claim(Moment now, RequestKey key, int contentHash, Vouch vouch) {
        Optional<Claim> known = known(key.request(), contentHash);
        if (known.isPresent()) {
            return known.get();
        }
        Optional<Claim> untimely = checkMinted(now, key, vouch);
        if (untimely.isPresent()) {
            return untimely.get();
        }
        if (!makeRoom(now)) {
            return new Claim.Refused(RefusalReason.HOLDER_FULL, FULL_RETRY);
        }
        add(key, new HolderRecord(key.mintedMillis(), contentHash, now.nanos(), false));
        return new Claim.Run();
    }

    /**
     * Releases a claim: nothing of the request was handed to a copy, and nothing will be.
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
     * Remembers what a request came to.
     *
     * @param request the request
     * @param outcome what it came to; as not run, it is released
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
     * Tells how many requests are remembered.
     *
     * @return the number of entries
     */
    public int size() {
        return minted.size() + unminted.size();
    }

    /** Identifiers minted until this time may have been dropped, wall clock since 1970. */
    long forgottenMillis() {
        return forgottenMillis;
    }

    /** All that is known, for nodes that take over. */
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
     * Takes over an entry of a leaving holder; one that may still be running there counts as finished without answer.
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

    /** Tells why the minting time rules a run out; empty if this node can vouch that the identifier never ran. */
    private Optional<Claim> checkMinted(Moment now, RequestKey key, Vouch vouch) {
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
     * Drops what has outlived its key, and under pressure the oldest claims; tells whether there is room for one more.
     *
     * <p>Failure guarded against: a dropped identifier is claimed again. One with a minting time raises the forgotten
     * time, up to which nothing is claimed; one without is dropped only after the key lifetime.
     */
    private boolean makeRoom(Moment now) {
        long expired = now.nanos() - settings.keyLifetime().toNanos();
        drop(minted, expired, 0);
        drop(unminted, expired, 0);
        int mostBefore = settings.maximumEntries() - 1;
        drop(minted, now.nanos() - settings.leastLifetime().toNanos(), mostBefore);
        return size() <= mostBefore;
    }

    private void drop(Map<RequestIdentifier, HolderRecord> oldestFirst, long claimedBefore, int enough) {
        Iterator<Map.Entry<RequestIdentifier, HolderRecord>> entries =
                oldestFirst.entrySet().iterator();
        while (size() > enough && entries.hasNext()) {
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
