package org.carawaysill.load.layout;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.carawaysill.load.site.Site;
import org.carawaysill.load.site.SiteCopy;
import org.carawaysill.load.site.SiteCopy.Port;

/**
 * The files and processes of a site on loopback under one policy.
 *
 * <p>Immutable and thread safe.
 *
 * @param site the site
 * @param siteDirectory the directory that contains the site's {@code configuration} and {@code graphs}
 * @param policy the policy that the nodes run
 * @param directory the directory for the generated files
 */
public record SiteLayout(Site site, Path siteDirectory, PolicyName policy, Path directory) {

    private static final int VM_LIST_LAG_MILLISECONDS = 2000;
    private static final int COLD_START_MILLISECONDS = 0;

    /**
     * Returns the processes; a process that others read from comes before them.
     *
     * @return one entry for each process
     */
    public List<ProcessLine> processes() {
        List<ProcessLine> lines = new ArrayList<>();
        lines.add(configuration());
        lines.add(vmList());
        site.copies().forEach(copy -> lines.add(upstream(copy)));
        site.copies().forEach(copy -> lines.add(node(copy)));
        return lines;
    }

    /**
     * Returns the settings file of a copy's node.
     *
     * @param copy the copy
     * @return the file, in the layout's directory
     */
    public Path settingsFile(SiteCopy copy) {
        return directory.resolve(copy.name() + ".toml");
    }

    /**
     * Returns the file with the initial VM list.
     *
     * @return the file, in the layout's directory
     */
    public Path vmFile() {
        return directory.resolve("vms.json");
    }

    private ProcessLine configuration() {
        return ProcessLine.of(
                "configuration",
                Program.STANDIN,
                "configuration",
                "--listen",
                Site.HOST + ":" + Site.CONFIGURATION_PORT,
                "--directory",
                siteDirectory.resolve("configuration").toString());
    }

    private ProcessLine vmList() {
        return ProcessLine.of(
                "vm-list",
                Program.STANDIN,
                "vm-list",
                "--listen",
                Site.HOST + ":" + Site.VM_LIST_PORT,
                "--file",
                vmFile().toString(),
                "--lag-milliseconds",
                String.valueOf(VM_LIST_LAG_MILLISECONDS));
    }

    private ProcessLine upstream(SiteCopy copy) {
        return ProcessLine.of(
                copy.name() + "-copy",
                Program.STANDIN,
                "upstream",
                "--name",
                copy.name().value(),
                "--service",
                copy.service().name().value(),
                "--listen",
                copy.address(Port.COPY),
                "--node-egress",
                copy.address(Port.EGRESS),
                "--slots",
                String.valueOf(copy.service().slots()),
                "--connections",
                String.valueOf(copy.service().connections()),
                "--service-milliseconds",
                String.valueOf(copy.service().serviceMilliseconds()),
                "--cold-start-milliseconds",
                String.valueOf(COLD_START_MILLISECONDS),
                "--false-load",
                "--seed",
                String.valueOf(copy.index()),
                "--graph",
                siteDirectory
                        .resolve("graphs")
                        .resolve(copy.service().name() + ".toml")
                        .toString());
    }

    private ProcessLine node(SiteCopy copy) {
        return ProcessLine.of(
                copy.name().value(),
                Program.NODE,
                "--settings",
                settingsFile(copy).toString());
    }
}
