package org.carawaysill.node.testing;

import org.carawaysill.model.document.ParseResult;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.settings.NodeSettings;
import org.carawaysill.model.settings.NodeSettingsParser;

/** Settings of a node on loopback, with free ports. Thread safe. */
public final class SettingsText {

    private SettingsText() {}

    public static String of(NetworkAddress copy, int ingressPort, int platformPort) {
        return """
                [node]
                name = "tracker-1"
                service = "tracker"
                zone = "molo-nord"
                [addresses]
                ingress = "127.0.0.1:%d"
                egress = "127.0.0.1:0"
                peer = "127.0.0.1:0"
                admin = "127.0.0.1:0"
                copy = "%s"
                [platform]
                configuration = "127.0.0.1:%d"
                vm-list = "127.0.0.2:%d"
                [bench]
                faults = true
                """.formatted(ingressPort, copy, platformPort, platformPort);
    }

    public static NodeSettings parsed(NetworkAddress copy, int ingressPort, int platformPort) {
        return switch (NodeSettingsParser.parse(of(copy, ingressPort, platformPort))) {
            case ParseResult.Valid<NodeSettings> valid -> valid.value();
            case ParseResult.Invalid<NodeSettings> invalid ->
                throw new AssertionError(invalid.faults().toString());
        };
    }
}
