package org.carawaysill.model.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.document.DistinctValues;
import org.carawaysill.model.document.DurationFormat;
import org.carawaysill.model.document.FaultCollector;
import org.carawaysill.model.document.Located;
import org.carawaysill.model.document.NameFormat;
import org.carawaysill.model.document.ParseResult;
import org.carawaysill.model.document.TableReader;
import org.carawaysill.model.document.TomlDocument;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.ServiceName;

/**
 * Parses the document that operators publish for a service and validates it as a whole.
 *
 * <p>Invariant: a result is valid only if no fault was found anywhere, and depends only on the text, so that all nodes
 * accept or refuse the same documents. Not thread safe: one instance reads one text.
 */
public final class ServiceConfigurationParser {

    private static final NameFormat<ServiceName> SERVICE = new NameFormat<>(ServiceName::new);
    private static final NameFormat<CallerName> CALLER = new NameFormat<>(CallerName::new);
    private static final int MAXIMUM_CALLERS = 10_000;
    private static final ServiceName PLACEHOLDER_SERVICE = new ServiceName("-");
    private static final DurationFormat KEY_LIFETIME = new DurationFormat(Duration.ofMinutes(1), Duration.ofHours(24));

    private final long version;
    private final FaultCollector faults = new FaultCollector();

    private ServiceConfigurationParser(long version) {
        this.version = version;
    }

    /**
     * Parses a document.
     *
     * @param text the document
     * @param version the version number that the platform gave it
     * @return the configuration, or every fault that was found
     */
    public static ParseResult<ServiceConfiguration> parse(String text, long version) {
        ServiceConfigurationParser parser = new ServiceConfigurationParser(version);
        Optional<ServiceConfiguration> configuration =
                TomlDocument.read(text, parser.faults).map(parser::readDocument);
        if (configuration.isPresent() && parser.faults.isEmpty()) {
            return new ParseResult.Valid<>(configuration.get());
        }
        return new ParseResult.Invalid<>(parser.faults.inOrder());
    }

    private ServiceConfiguration readDocument(TableReader document) {
        ServiceName service =
                document.requiredValue("service", SERVICE).map(Located::value).orElse(PLACEHOLDER_SERVICE);
        Labels labels = new LabelsReader(RequestLabels.NAME, faults).read(document);
        List<ServiceName> calls = readCalls(document, service);
        List<CopyEntry> copies = new RosterReader(faults).read(document);
        List<Operation> operations = new OperationsReader(faults).read(document);
        List<CallerEntry> callers = readCallers(document);
        SelectorsReader selectors =
                new SelectorsReader(faults, RequestLabels.ofService(service.value(), labels), operations, callers);
        ServiceConfigurationBuilder builder = ServiceConfiguration.builder(service, version, copies)
                .labels(labels)
                .calls(calls)
                .operations(operations)
                .callers(callers)
                .selectors(selectors.read(document));
        readDefaults(document, builder);
        readLimits(document, builder);
        document.reportUnknownKeys();
        return builder.build();
    }

    private List<ServiceName> readCalls(TableReader document, ServiceName service) {
        DistinctValues<ServiceName> distinct = new DistinctValues<>("service", faults);
        List<ServiceName> calls = new ArrayList<>();
        for (Located<ServiceName> call : document.values("calls", SERVICE)) {
            if (call.value().equals(service)) {
                faults.add(call.line(), call.key(), "a service can't call itself");
            }
            distinct.add(call);
            calls.add(call.value());
        }
        return calls;
    }

    private List<CallerEntry> readCallers(TableReader document) {
        DistinctValues<CallerName> distinct = new DistinctValues<>("caller name", faults);
        LabelsReader labels = new LabelsReader(RequestLabels.NAME, faults);
        List<CallerEntry> callers = new ArrayList<>();
        for (TableReader table : document.tables("callers", MAXIMUM_CALLERS)) {
            Optional<Located<CallerName>> name = table.requiredValue("name", CALLER);
            Labels read = labels.read(table);
            table.reportUnknownKeys();
            name.ifPresent(distinct::add);
            name.ifPresent(located -> callers.add(new CallerEntry(located.value(), read)));
        }
        return callers;
    }

    private static void readDefaults(TableReader document, ServiceConfigurationBuilder builder) {
        document.table("defaults").ifPresent(table -> {
            builder.defaults(TermsReader.defaults(table));
            table.reportUnknownKeys();
        });
    }

    private static void readLimits(TableReader document, ServiceConfigurationBuilder builder) {
        document.table("limits").ifPresent(table -> {
            ServiceLimits fallback = ServiceLimits.DEFAULTS;
            double retryBudget = table.number("retry-budget", 0, 1).orElse(fallback.retryBudget());
            Duration keyLifetime = table.value("key-lifetime", KEY_LIFETIME)
                    .map(Located::value)
                    .orElse(fallback.keyLifetime());
            builder.limits(new ServiceLimits(retryBudget, keyLifetime));
            table.reportUnknownKeys();
        });
    }
}
