package org.carawaysill.model.configuration;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.carawaysill.model.document.Fault;
import org.carawaysill.model.document.ParseResult;

/** Documents and parsing methods shared by several tests. Stateless and thread safe. */
final class Documents {

    static final String SMALL = """
            service = "tracker"
            calls = ["parties"]
            labels = { tier = "entry" }
            [[copies]]
            node = "tracker-1"
            zone = "molo-nord"
            address = "127.0.0.1:21002"
            slots = 60
            connections = 500
            [[operations]]
            name = "status-lookup"
            method = "GET"
            path = "/bills/*/status"
            labels = { kind = "lookup" }
            [[operations]]
            name = "release"
            method = "POST"
            path = "/bills/*/release"
            [[callers]]
            name = "quay-gate"
            labels = { desk = "gate" }
            """;

    private Documents() {}

    static ServiceConfiguration valid(String text) {
        return switch (ServiceConfigurationParser.parse(text, 1)) {
            case ParseResult.Valid<ServiceConfiguration>(ServiceConfiguration value) -> value;
            case ParseResult.Invalid<ServiceConfiguration>(List<Fault> faults) ->
                throw new AssertionError("faults: " + faults);
        };
    }

    static List<Fault> faults(String text) {
        return switch (ServiceConfigurationParser.parse(text, 1)) {
            case ParseResult.Valid<ServiceConfiguration> valid -> List.of();
            case ParseResult.Invalid<ServiceConfiguration>(List<Fault> faults) -> faults;
        };
    }

    static String file(Path path) {
        try {
            return Files.readString(path);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
