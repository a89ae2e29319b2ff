package org.carawaysill.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Verifies that the field names of the users' platform occur only in the platform module, so that a renamed field
 * changes only that module.
 */
class PlatformNamesTest {

    private static final Path ROOT = Path.of("..");

    private static final List<String> NAMES = List.of(
            "Request-Id",
            "Deadline-Ms",
            "Target-Instance",
            "Response-Seal",
            "Not-Executed",
            "Caller-Service",
            "Instance-Id",
            "Tenant-Id",
            "api_keys",
            "rate_per_s",
            "quota_window_s",
            "kv-range",
            "kv-watch",
            "op/config",
            "servers/",
            "/-/ready",
            "CARAWAYSILL_SETTINGS",
            "route_type",
            "warmup_left_ms",
            "max_attempts",
            "sidecar",
            "fleetbench");

    @Test
    void occurOnlyInThePlatformModule() throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(ROOT)) {
            List<Path> sources = files.filter(PlatformNamesTest::isSource).toList();
            for (Path source : sources) {
                String text = Files.readString(source);
                NAMES.stream().filter(text::contains).forEach(name -> found.add(source + ": " + name));
            }
        }
        assertEquals(List.of(), found);
    }

    private static boolean isSource(Path file) {
        String path = file.toString().replace('\\', '/');
        return path.endsWith(".java")
                && path.contains("/src/main/")
                && !path.contains("/generated/")
                && !path.startsWith("../platform/");
    }
}
