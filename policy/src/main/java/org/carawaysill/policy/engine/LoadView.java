package org.carawaysill.policy.engine;

import java.util.List;
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

    LoadReport load() {
        return admission.load();
    }

    List<ServiceCut> cuts(long now, String operation) {
        return chainCuts.report(now, operation, admission.cut());
    }
}
