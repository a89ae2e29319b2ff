package org.carawaysill.model.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The documents of both sites are faultless and fit together. */
class SiteDocumentsTest {

    private static final Path SITES = Path.of("..", "sites");

    @ParameterizedTest
    @ValueSource(strings = {"trinacria", "tengri"})
    void fitTogether(String site) throws IOException {
        List<ServiceConfiguration> services = read(site);
        assertEquals(4, services.size());

        Set<String> addresses = new HashSet<>();
        Set<String> names = new HashSet<>();
        for (ServiceConfiguration service : services) {
            names.add(service.service().value());
            service.copies().forEach(copy -> addresses.add(copy.host() + ":" + copy.peerPort()));
        }
        int copies =
                services.stream().mapToInt(service -> service.copies().size()).sum();
        assertEquals(copies, addresses.size(), "each copy has its own address");
        services.forEach(service -> service.calls().forEach(call -> assertTrue(names.contains(call.value()))));
    }

    @Test
    void haveTheCopiesOfTheirSites() throws IOException {
        assertEquals(13, copies("trinacria"));
        assertEquals(14, copies("tengri"));
    }

    @Test
    void areExplainedByAnExampleThatHolds() {
        String page = Documents.file(Path.of("..", "docs", "operators", "first-configuration.md"));
        String example = page.split("```toml\n")[1].split("```")[0];

        assertEquals(4, Documents.valid(example).selectors().size());
    }

    private static int copies(String site) throws IOException {
        return read(site).stream().mapToInt(service -> service.copies().size()).sum();
    }

    private static List<ServiceConfiguration> read(String site) throws IOException {
        try (Stream<Path> files = Files.list(SITES.resolve(site).resolve("configuration"))) {
            return files.sorted().map(Documents::file).map(Documents::valid).toList();
        }
    }
}
