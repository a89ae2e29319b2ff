package org.carawaysill.load.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.carawaysill.load.layout.NodeSettingsText;
import org.carawaysill.load.layout.PolicyName;
import org.carawaysill.load.layout.ProcessLine;
import org.carawaysill.load.layout.Program;
import org.carawaysill.load.layout.VmListText;
import org.carawaysill.load.site.Site;
import org.carawaysill.load.site.SiteCopy;

/** Writes the files of a fleet: settings, documents, the VM list and the list of processes. Stateless, thread safe. */
public final class FleetFiles {

    private static final int FIRST_REVISION = 0;

    private FleetFiles() {}

    /**
     * Writes all files.
     *
     * @param plan the fleet
     * @param directory the directory for the files
     * @return the file that lists the processes
     * @throws IOException if a file can't be written
     */
    public static Path write(FleetPlan plan, Path directory) throws IOException {
        Path documents = Files.createDirectories(directory.resolve("configuration"));
        for (FleetService service : plan.services()) {
            Files.writeString(documents.resolve(service.name() + ".toml"), service.document(FIRST_REVISION));
        }
        for (SiteCopy copy : plan.copies()) {
            Files.writeString(settings(copy, directory), NodeSettingsText.of(copy, PolicyName.CARAWAYSILL));
        }
        Path vms = directory.resolve("vms.json");
        Files.writeString(vms, VmListText.of(plan.copies()));
        Path processes = directory.resolve("processes");
        Files.writeString(
                processes,
                processes(plan, directory, documents, vms).stream()
                        .map(line -> line.text() + "\n")
                        .collect(Collectors.joining()));
        return processes;
    }

    private static Path settings(SiteCopy copy, Path directory) {
        return directory.resolve(copy.name() + ".toml");
    }

    private static List<ProcessLine> processes(FleetPlan plan, Path directory, Path documents, Path vms) {
        List<ProcessLine> lines = new ArrayList<>();
        lines.add(ProcessLine.of(
                "configuration",
                Program.STANDIN,
                "configuration",
                "--listen",
                Site.HOST + ":" + Site.CONFIGURATION_PORT,
                "--directory",
                documents.toString()));
        lines.add(ProcessLine.of(
                "vm-list",
                Program.STANDIN,
                "vm-list",
                "--listen",
                Site.HOST + ":" + Site.VM_LIST_PORT,
                "--file",
                vms.toString()));
        plan.copies()
                .forEach(copy -> lines.add(ProcessLine.of(
                        copy.name().value(),
                        Program.NODE,
                        "--settings",
                        settings(copy, directory).toString())));
        return lines;
    }
}
