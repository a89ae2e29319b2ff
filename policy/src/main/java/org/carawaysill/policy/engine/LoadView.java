package org.carawaysill.policy.engine;

import java.util.List;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.policy.admission.ChainCuts;
import org.carawaysill.policy.admission.CopyAdmission;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PeerMessage.ServiceCut;

/**
 * What this node tells others of its load with each answer.
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

    /** Time that an attempt spends on a deeper call is not the local copy's own. */
    void answeredBelow(long now, AttemptIdentifier attempt, boolean answered) {
        admission.deeperCallEnded(now, attempt, answered);
    }

    LoadReport load() {
        return admission.load();
    }

    List<ServiceCut> cuts(long now, String operation) {
        return chainCuts.report(now, operation, admission.cut());
    }
}
