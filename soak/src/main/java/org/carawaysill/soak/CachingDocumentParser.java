package org.carawaysill.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.configuration.ServiceConfigurationParser;
import org.carawaysill.model.document.Fault;
import org.carawaysill.model.document.ParseResult;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.distribution.DocumentParser;
import org.carawaysill.policy.event.Event;

/**
 * Parses each document as a node does and caches the result for all nodes of a schedule.
 *
 * <p>Not thread safe: one schedule owns it.
 */
final class CachingDocumentParser implements DocumentParser {

    private final Map<Key, Verdict> verdicts = new HashMap<>();

    @Override
    public Verdict parse(String text, long version) {
        return verdicts.computeIfAbsent(new Key(text, version), CachingDocumentParser::check);
    }

    private static Verdict check(Key key) {
        return switch (ServiceConfigurationParser.parse(key.text(), key.version())) {
            case ParseResult.Valid<ServiceConfiguration> valid -> new Verdict.Valid(valid.value());
            case ParseResult.Invalid<ServiceConfiguration> invalid ->
                new Verdict.Invalid(
                        invalid.faults().stream().map(Fault::toString).collect(Collectors.joining("; ")));
        };
    }

    Event event(ServiceName service, long version, String text) {
        return switch (parse(text, version)) {
            case Verdict.Valid valid -> new Event.ConfigurationRead(valid.configuration(), text);
            case Verdict.Invalid invalid -> new Event.ConfigurationRefused(service, version, invalid.message());
        };
    }

    private record Key(String text, long version) {}
}
