package org.carawaysill.load.layout;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.carawaysill.load.site.SiteCopy;

/** Writes the files of a layout. Stateless and thread safe. */
public final class LayoutWriter {

    private LayoutWriter() {}

    /**
     * Writes the settings of each node, the VM list and the list of processes.
     *
     * @param layout the layout to write
     * @return the file that lists the processes
     * @throws IOException if a file can't be written
     */
    public static Path write(SiteLayout layout) throws IOException {
        Files.createDirectories(layout.directory());
        for (SiteCopy copy : layout.site().copies()) {
            Files.writeString(layout.settingsFile(copy), NodeSettingsText.of(copy, layout.policy()));
        }
        Files.writeString(layout.vmFile(), VmListText.of(layout.site().copies()));
        Path processes = layout.directory().resolve("processes");
        Files.writeString(processes, text(layout));
        return processes;
    }

    private static String text(SiteLayout layout) {
        return layout.processes().stream().map(line -> line.text() + "\n").collect(Collectors.joining());
    }
}
