package org.carawaysill.policy.engine;

import java.util.Map;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.admission.ChainCuts;
import org.carawaysill.policy.admission.CopyAdmission;
import org.carawaysill.policy.distribution.ConfigurationDistribution;
import org.carawaysill.policy.distribution.DocumentParser;
import org.carawaysill.policy.membership.HeartbeatContent;
import org.carawaysill.policy.membership.Membership;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.ownership.Holder;
import org.carawaysill.policy.retry.Backoff;
import org.carawaysill.policy.retry.RetryBudget;
import org.carawaysill.policy.routing.CopySelector;
import org.carawaysill.policy.time.Moment;

/**
 * Creates and connects the parts of one node's policy.
 *
 * <p>Not thread safe: used once, by the thread that owns the policy.
 */
final class EngineAssembly {

    private static final int SLOTS_BEFORE_CONFIGURATION = 1;

    private final NodeIdentity identity;
    private final PolicySettings settings;
    private final DocumentParser parser;
    private final RandomGenerator random;
    private final Moment start;

    EngineAssembly(
            NodeIdentity identity,
            PolicySettings settings,
            DocumentParser parser,
            RandomGenerator random,
            Moment start) {
        this.identity = identity;
        this.settings = settings;
        this.parser = parser;
        this.random = random;
        this.start = start;
    }

    EngineParts assemble(Holder holder) {
        Outbox out = new Outbox();
        WorkTable table = new WorkTable();
        ServiceDirectory directory = new ServiceDirectory();
        CopyAdmission admission = new CopyAdmission(settings.admission(), SLOTS_BEFORE_CONFIGURATION);
        ChainCuts chainCuts = new ChainCuts(identity.service());
        ControlPlane control = controlPlane(out, directory, admission);
        ClientLedgers ledgers = new ClientLedgers();
        OutcomeDelivery delivery = new OutcomeDelivery(out, new LoadView(admission, chainCuts));
        return new EngineParts(
                identity,
                out,
                table,
                new Timers(),
                directory,
                control,
                admission,
                chainCuts,
                new Ownership(holder, table, delivery, chainCuts, ledgers),
                new ClientRetries(identity, directory, control, table, delivery, ledgers),
                new RetryGate(identity, control, new RetryBudget(settings.budget()), new Backoff(random), out),
                delivery,
                new IdentifierSource(random));
    }

    Holder holder(RosterMember self) {
        return new Holder(self, identity.incarnation(), identity.service(), start, settings.lease(), settings.holder());
    }

    private ControlPlane controlPlane(Outbox out, ServiceDirectory directory, CopyAdmission admission) {
        ConfigurationDistribution distribution = new ConfigurationDistribution(
                identity.node(), identity.service(), parser, settings.distribution(), random);
        Membership membership = new Membership(identity.node(), settings.membership(), random);
        CopySelector selector = new CopySelector(identity.node(), identity.zone(), random, settings.routing());
        return new ControlPlane(
                identity, directory, distribution, membership, selector, content(admission, distribution), out);
    }

    private static HeartbeatContent content(CopyAdmission admission, ConfigurationDistribution distribution) {
        return new HeartbeatContent() {
            @Override
            public LoadReport load() {
                return admission.load();
            }

            @Override
            public Map<ServiceName, Long> versionsFor(NodeName peer) {
                return distribution.versionsFor(peer);
            }
        };
    }
}
