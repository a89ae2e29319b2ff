package org.carawaysill.policy.distribution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.RequestTerms;

/** Documents in a line format for tests: {@code service NAME}, {@code calls NAME}, {@code copy NODE ZONE}. */
final class TestDocuments implements DocumentParser {

    private static final RequestTerms TERMS = new RequestTerms(Importance.ORDINARY, false, 2, Duration.ofSeconds(2));

    static String text(ServiceName service, List<String> calls, int copies, int zones) {
        List<String> lines = new ArrayList<>();
        lines.add("service " + service);
        calls.forEach(called -> lines.add("calls " + called));
        for (int i = 1; i <= copies; i++) {
            lines.add("copy " + service + "-" + i + " zone-" + i % zones);
        }
        return String.join("\n", lines);
    }

    @Override
    public Verdict parse(String text, long version) {
        List<ServiceName> calls = new ArrayList<>();
        List<CopyEntry> copies = new ArrayList<>();
        ServiceName service = new ServiceName("none");
        for (String line : text.split("\n")) {
            String[] words = line.split(" ");
            switch (words[0]) {
                case "service" -> service = new ServiceName(words[1]);
                case "calls" -> calls.add(new ServiceName(words[1]));
                case "copy" -> copies.add(copy(words[1], words[2]));
                case "note" -> {}
                default -> {
                    return new Verdict.Invalid("unknown word " + words[0]);
                }
            }
        }
        return new Verdict.Valid(ServiceConfiguration.builder(service, version, copies)
                .calls(calls)
                .defaults(TERMS)
                .build());
    }

    private static CopyEntry copy(String node, String zone) {
        return new CopyEntry(new NodeName(node), new AvailabilityZone(zone), "127.0.0.1", 1, 10, 100);
    }
}
