package org.carawaysill.load.layout;

import org.carawaysill.load.site.Site;
import org.carawaysill.load.site.SiteCopy;
import org.carawaysill.load.site.SiteCopy.Port;

/** Generates the settings of a node. Stateless and thread safe. */
public final class NodeSettingsText {

    private static final int MAXIMUM_BODY_BYTES = 1 << 20;
    private static final int MAXIMUM_HEADER_BYTES = 16 << 10;

    private NodeSettingsText() {}

    /**
     * Returns the settings.
     *
     * @param copy the copy beside which the node runs
     * @param policy the policy that the node runs
     * @return the TOML text
     */
    public static String of(SiteCopy copy, PolicyName policy) {
        return """
                [node]
                name = "%s"
                service = "%s"
                zone = "%s"
                policy = "%s"

                [addresses]
                ingress = "%s"
                egress = "%s"
                peer = "%s"
                admin = "%s"
                copy = "%s"

                [platform]
                configuration = "%s:%d"
                vm-list = "%s:%d"

                [limits]
                maximum-body-bytes = %d
                maximum-header-bytes = %d

                [bench]
                faults = true
                """.formatted(
                        copy.name(),
                        copy.service().name(),
                        copy.zone(),
                        policy.text(),
                        copy.address(Port.INGRESS),
                        copy.address(Port.EGRESS),
                        copy.address(Port.PEER),
                        copy.address(Port.ADMIN),
                        copy.address(Port.COPY),
                        Site.HOST,
                        Site.CONFIGURATION_PORT,
                        Site.HOST,
                        Site.VM_LIST_PORT,
                        MAXIMUM_BODY_BYTES,
                        MAXIMUM_HEADER_BYTES);
    }
}
