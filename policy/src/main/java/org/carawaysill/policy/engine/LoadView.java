package org.carawaysill.policy.engine;

import java.util.List;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.policy.admission.ChainCuts;
import org.carawaysill.policy.admission.CopyAdmission;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PeerMessage.ServiceCut;

/**
 * Provides the load and the cuts that this node reports with each answer.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class LoadView {

    private final CopyAdmission admission;
    private final ChainCuts chainCuts;

    LoadView(CopyAdmission admission, ChainCuts chainCuts) {
        this.admission = admission;
        this.chainCuts = chainCuts;
    }

    /** Records the end of a deeper call; the time that an attempt spends on it does not count as the local copy's own. */
    void deeperCallEnded(long now, AttemptIdentifier attempt, boolean answered) {
        admission.deeperCallEnded(now, attempt, answered);
    }

    LoadReport load() {
        return admission.load();
    }

    List<ServiceCut> cuts(long now, String operation) {
        return chainCuts.report(now, operation, admission.cut());
    }
}
