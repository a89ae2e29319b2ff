package org.carawaysill.load.fleet;

import java.util.List;
import java.util.stream.Collectors;
import org.carawaysill.load.site.SiteCopy;
import org.carawaysill.load.site.SiteCopy.Port;
import org.carawaysill.model.identity.ServiceName;

/**
 * A service of a fleet.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the service
 * @param copies its copies
 * @param calls the services that its copies call
 */
record FleetService(ServiceName name, List<SiteCopy> copies, List<ServiceName> calls) {

    FleetService {
        copies = List.copyOf(copies);
        calls = List.copyOf(calls);
    }

    /**
     * Returns the service's document.
     *
     * @param revision a number by which the text differs from other revisions
     * @return the TOML text
     */
    String document(int revision) {
        return """
                service = "%s"
                calls = [%s]
                labels = { revision = "r%d" }

                [defaults]
                importance = "ordinary"
                idempotent = true
                retry-credits = 2
                deadline = "2s"

                [[operations]]
                name = "item"
                method = "GET"
                path = "/items/*"
                labels = { kind = "lookup" }
                """.formatted(name, quoted(calls), revision)
                + copies.stream().map(FleetService::entry).collect(Collectors.joining());
    }

    private static String quoted(List<ServiceName> services) {
        return services.stream().map(service -> "\"" + service + "\"").collect(Collectors.joining(", "));
    }

    private static String entry(SiteCopy copy) {
        return """

                [[copies]]
                node = "%s"
                zone = "%s"
                address = "%s"
                slots = %d
                connections = %d
                """.formatted(
                        copy.name(),
                        copy.zone(),
                        copy.address(Port.PEER),
                        copy.service().slots(),
                        copy.service().connections());
    }
}
