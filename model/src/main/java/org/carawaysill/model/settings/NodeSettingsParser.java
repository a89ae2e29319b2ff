package org.carawaysill.model.settings;

import java.util.Optional;
import org.carawaysill.model.document.AddressFormat;
import org.carawaysill.model.document.ChoiceFormat;
import org.carawaysill.model.document.DistinctValues;
import org.carawaysill.model.document.FaultCollector;
import org.carawaysill.model.document.Located;
import org.carawaysill.model.document.NameFormat;
import org.carawaysill.model.document.ParseResult;
import org.carawaysill.model.document.TableReader;
import org.carawaysill.model.document.TextFormat;
import org.carawaysill.model.document.TomlDocument;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * Parses a node's settings and validates them as a whole.
 *
 * <p>Invariant: a result is valid only if no fault was found anywhere. Not thread safe: one instance reads one text.
 */
public final class NodeSettingsParser {

    private static final AddressFormat LISTEN = new AddressFormat(AddressFormat.Use.LISTEN);
    private static final AddressFormat CONNECT = new AddressFormat(AddressFormat.Use.CONNECT);
    private static final NetworkAddress PLACEHOLDER_ADDRESS = new NetworkAddress("0.0.0.0", 0);
    private static final String ADMIN = "admin";
    private static final String PLACEHOLDER_NAME = "-";
    private static final int MINIMUM_HEADER_BYTES = 1 << 10;
    private static final int MAXIMUM_HEADER_BYTES = 1 << 20;
    private static final int MINIMUM_BODY_BYTES = 1 << 10;
    private static final int MAXIMUM_BODY_BYTES = 1 << 26;

    private final FaultCollector faults = new FaultCollector();
    private final DistinctValues<NetworkAddress> addresses = new DistinctValues<>("address", faults);

    private NodeSettingsParser() {}

    /**
     * Parses settings.
     *
     * @param text the text of a {@code node.toml} file
     * @return the settings, or every fault that was found
     */
    public static ParseResult<NodeSettings> parse(String text) {
        NodeSettingsParser parser = new NodeSettingsParser();
        Optional<NodeSettings> settings = TomlDocument.read(text, parser.faults).map(parser::readDocument);
        if (settings.isPresent() && parser.faults.isEmpty()) {
            return new ParseResult.Valid<>(settings.get());
        }
        return new ParseResult.Invalid<>(parser.faults.inOrder());
    }

    private NodeSettings readDocument(TableReader document) {
        TableReader node = document.requiredTable("node");
        TableReader listen = document.requiredTable("addresses");
        TableReader platform = document.requiredTable("platform");
        Optional<TableReader> limits = document.table("limits");
        Optional<TableReader> bench = document.table("bench");
        document.reportUnknownKeys();
        NodeSettings settings = new NodeSettings(
                required(node, "name", new NameFormat<>(NodeName::new), new NodeName(PLACEHOLDER_NAME)),
                required(node, "service", new NameFormat<>(ServiceName::new), new ServiceName(PLACEHOLDER_NAME)),
                required(node, "zone", new NameFormat<>(AvailabilityZone::new), new AvailabilityZone(PLACEHOLDER_NAME)),
                node.value("policy", new ChoiceFormat<>(PolicyChoice.class))
                        .map(Located::value)
                        .orElse(PolicyChoice.CARAWAYSILL),
                readAddresses(listen),
                readPlatform(platform),
                limits.map(NodeSettingsParser::readLimits).orElse(SizeLimits.DEFAULTS),
                bench.map(NodeSettingsParser::readBench).orElse(false));
        node.reportUnknownKeys();
        return settings;
    }

    private NodeAddresses readAddresses(TableReader table) {
        NodeAddresses read = new NodeAddresses(
                address(table, "ingress", LISTEN),
                address(table, "egress", LISTEN),
                address(table, "peer", LISTEN),
                adminAddress(table),
                address(table, "copy", CONNECT));
        table.reportUnknownKeys();
        return read;
    }

    private PlatformAddresses readPlatform(TableReader table) {
        PlatformAddresses read =
                new PlatformAddresses(address(table, "configuration", CONNECT), address(table, "vm-list", CONNECT));
        table.reportUnknownKeys();
        return read;
    }

    private static SizeLimits readLimits(TableReader table) {
        int body = table.wholeNumber("maximum-body-bytes", MINIMUM_BODY_BYTES, MAXIMUM_BODY_BYTES)
                .orElse(SizeLimits.DEFAULTS.maximumBodyBytes());
        int header = table.wholeNumber("maximum-header-bytes", MINIMUM_HEADER_BYTES, MAXIMUM_HEADER_BYTES)
                .orElse(SizeLimits.DEFAULTS.maximumHeaderBytes());
        table.reportUnknownKeys();
        return new SizeLimits(body, header);
    }

    private static boolean readBench(TableReader table) {
        boolean faults = table.booleanValue("faults").orElse(false);
        table.reportUnknownKeys();
        return faults;
    }

    private NetworkAddress adminAddress(TableReader table) {
        return table.has(ADMIN) ? address(table, ADMIN, LISTEN) : NodeAddresses.DEFAULT_ADMIN;
    }

    private NetworkAddress address(TableReader table, String key, AddressFormat format) {
        Optional<Located<NetworkAddress>> address = table.requiredValue(key, format);
        address.filter(located -> located.value().port() != 0).ifPresent(addresses::add);
        return address.map(Located::value).orElse(PLACEHOLDER_ADDRESS);
    }

    private static <T> T required(TableReader table, String key, TextFormat<T> format, T placeholder) {
        return table.requiredValue(key, format).map(Located::value).orElse(placeholder);
    }
}
