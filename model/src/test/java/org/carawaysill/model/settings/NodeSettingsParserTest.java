package org.carawaysill.model.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.carawaysill.model.document.Fault;
import org.carawaysill.model.document.ParseResult;
import org.carawaysill.model.identity.NetworkAddress;
import org.junit.jupiter.api.Test;

/** Verifies that a node's settings are either accepted as a whole or refused with every fault. */
class NodeSettingsParserTest {

    private static final String SETTINGS = """
            [node]
            name = "tracker-1"
            service = "tracker"
            zone = "molo-nord"
            [addresses]
            ingress = "127.0.0.1:21000"
            egress = "127.0.0.1:21001"
            peer = "127.0.0.1:21002"
            admin = "127.0.0.1:21003"
            copy = "127.0.0.1:21004"
            [platform]
            configuration = "127.0.0.1:20001"
            vm-list = "127.0.0.1:20002"
            """;

    private static final String BROKEN = """
            [node]
            name = ""
            servise = "tracker"
            zone = 3
            policy = "none"
            [addresses]
            ingress = "127.0.0.1:21000"
            egress = "127.0.0.1:21000"
            peer = "host:21002"
            admin = "0.0.0.0"
            copy = "127.0.0.1:0"
            [limits]
            maximum-body-bytes = 10
            maximum-header-bytes = "16K"
            [bench]
            faults = "yes"
            speed = 1
            [extra]
            """;

    @Test
    void haveDefaults() {
        NodeSettings settings = valid(SETTINGS);

        assertEquals(PolicyChoice.CARAWAYSILL, settings.policy());
        assertEquals(
                new NetworkAddress("127.0.0.1", 21003), settings.addresses().admin());
        assertEquals(SizeLimits.DEFAULTS, settings.limits());
        assertEquals(false, settings.benchFaults());
    }

    @Test
    void restrictTheAdminPortToTheOwnVmByDefault() {
        String silent = SETTINGS.replace("admin = \"127.0.0.1:21003\"\n", "");

        assertEquals(NodeAddresses.DEFAULT_ADMIN, valid(silent).addresses().admin());
        assertEquals(
                "0.0.0.0:9",
                valid(SETTINGS.replace("127.0.0.1:21003", "0.0.0.0:9"))
                        .addresses()
                        .admin()
                        .toString());
    }

    @Test
    void areRefusedWithEveryFault() {
        List<Fault> faults = switch (NodeSettingsParser.parse(BROKEN)) {
            case ParseResult.Valid<NodeSettings> valid -> List.of();
            case ParseResult.Invalid<NodeSettings>(List<Fault> found) -> found;
        };

        Approvals.verify(faults.stream().map(Fault::toString).collect(Collectors.joining("\n")));
    }

    private static NodeSettings valid(String text) {
        ParseResult<NodeSettings> result = NodeSettingsParser.parse(text);
        return (NodeSettings) assertInstanceOf(ParseResult.Valid.class, result).value();
    }
}
