package org.carawaysill.node.policy;

import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.configuration.ServiceConfigurationParser;
import org.carawaysill.model.document.Fault;
import org.carawaysill.model.document.ParseResult;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.settings.NodeSettings;
import org.carawaysill.model.settings.PolicyChoice;
import org.carawaysill.policy.NodePolicy;
import org.carawaysill.policy.distribution.DocumentParser;
import org.carawaysill.policy.engine.BaselinePolicy;
import org.carawaysill.policy.engine.NodeIdentity;
import org.carawaysill.policy.engine.OverloadPolicy;
import org.carawaysill.policy.engine.PolicySettings;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.time.Moment;

/** Creates the policy that the settings select. Stateless and thread safe. */
public final class ChosenPolicyFactory implements NodePolicyFactory {

    @Override
    public NodePolicy create(NodeSettings settings, Moment start, RandomGenerator random) {
        NodeIdentity identity =
                new NodeIdentity(settings.node(), settings.service(), settings.zone(), start.epochMillis());
        NetworkAddress peer = settings.addresses().peer();
        RosterMember self = new RosterMember(settings.node(), peer.host(), peer.port());
        DocumentParser parser = ChosenPolicyFactory::check;
        return settings.policy() == PolicyChoice.BASELINE
                ? new BaselinePolicy(identity, self, PolicySettings.DEFAULTS, parser, random, start)
                : new OverloadPolicy(identity, self, PolicySettings.DEFAULTS, parser, random, start);
    }

    private static DocumentParser.Verdict check(String text, long version) {
        return switch (ServiceConfigurationParser.parse(text, version)) {
            case ParseResult.Valid<ServiceConfiguration> valid -> new DocumentParser.Verdict.Valid(valid.value());
            case ParseResult.Invalid<ServiceConfiguration> invalid ->
                new DocumentParser.Verdict.Invalid(
                        invalid.faults().stream().map(Fault::toString).collect(Collectors.joining("; ")));
        };
    }
}
