package org.carawaysill.model.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.document.AddressFormat;
import org.carawaysill.model.document.DistinctValues;
import org.carawaysill.model.document.FaultCollector;
import org.carawaysill.model.document.Located;
import org.carawaysill.model.document.NameFormat;
import org.carawaysill.model.document.TableReader;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.NodeName;

/**
 * Reads the roster of a service; reports an empty roster and repeated nodes or addresses.
 *
 * <p>Not thread safe: one instance reads one document.
 */
final class RosterReader {

    private static final String COPIES = "copies";
    private static final int MAXIMUM_COPIES = 1_000;
    private static final int MAXIMUM_SLOTS = 100_000;
    private static final int MAXIMUM_CONNECTIONS = 1_000_000;
    private static final AddressFormat ADDRESS = new AddressFormat(AddressFormat.Use.CONNECT);

    private final DistinctValues<NodeName> nodes;
    private final DistinctValues<NetworkAddress> addresses;

    RosterReader(FaultCollector faults) {
        nodes = new DistinctValues<>("node name", faults);
        addresses = new DistinctValues<>("address", faults);
    }

    List<CopyEntry> read(TableReader document) {
        List<CopyEntry> copies = new ArrayList<>();
        List<TableReader> tables = document.tables(COPIES, MAXIMUM_COPIES);
        if (tables.isEmpty()) {
            document.fault(COPIES, "the roster is empty: state at least one copy under [[copies]]");
        }
        for (TableReader table : tables) {
            readCopy(table).ifPresent(copies::add);
        }
        return copies;
    }

    private Optional<CopyEntry> readCopy(TableReader table) {
        Optional<Located<NodeName>> node = table.requiredValue("node", new NameFormat<>(NodeName::new));
        Optional<Located<AvailabilityZone>> zone = table.requiredValue("zone", new NameFormat<>(AvailabilityZone::new));
        Optional<Located<NetworkAddress>> address = table.requiredValue("address", ADDRESS);
        table.reportIfMissing("slots");
        Optional<Integer> slots = table.wholeNumber("slots", 1, MAXIMUM_SLOTS);
        table.reportIfMissing("connections");
        Optional<Integer> connections = table.wholeNumber("connections", 1, MAXIMUM_CONNECTIONS);
        table.reportUnknownKeys();
        node.ifPresent(nodes::add);
        address.ifPresent(addresses::add);
        if (slots.isPresent() && connections.isPresent() && connections.get() < slots.get()) {
            table.fault("connections", "fewer connections than slots, which leaves slots that nothing can use");
        }
        boolean complete = node.isPresent() && zone.isPresent() && address.isPresent() && slots.isPresent();
        if (!complete || connections.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new CopyEntry(
                node.get().value(),
                zone.get().value(),
                address.get().value().host(),
                address.get().value().port(),
                slots.get(),
                connections.get()));
    }
}
