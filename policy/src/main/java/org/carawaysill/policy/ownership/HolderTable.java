package org.carawaysill.policy.ownership;

import java.time.Duration;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.policy.time.Moment;

/** What this node knows of requests that must run at most once. Not thread safe: one thread owns it. */
public final class HolderTable {

    /**
     * Makes an empty table.
     *
     * @param settings the bounds
     */
    public HolderTable(HolderSettings settings) {}

    /**
     * Decides about an attempt.
     *
     * @param now the moment
     * @param key the request, and when its identifier was minted
     * @param contentHash a hash of its content
     * @param vouchedFrom no other node ran this request after this moment
     * @return what may be done
     */
    public Claim claim(Moment now, RequestKey key, int contentHash, Moment vouchedFrom) {
        return new Claim.Refused(RefusalReason.NO_LEASE, Duration.ofSeconds(1));
    }

    /**
     * Releases a claim: nothing of the request was handed to a copy.
     *
     * @param request the request
     */
    public void notRun(RequestIdentifier request) {}

    /**
     * Remembers what a request came to.
     *
     * @param now the moment
     * @param request the request
     * @param outcome what it came to
     */
    public void finished(Moment now, RequestIdentifier request, Outcome outcome) {}
}
