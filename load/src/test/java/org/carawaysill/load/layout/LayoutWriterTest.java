package org.carawaysill.load.layout;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.carawaysill.load.site.SmallSite;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LayoutWriterTest {

    @TempDir
    private Path directory;

    private SiteLayout layout() {
        return new SiteLayout(SmallSite.read(), Path.of("sites/small"), PolicyName.BASELINE, directory);
    }

    private String written(Path file) throws IOException {
        return Files.readString(file).replace(directory.toString(), "DIRECTORY");
    }

    @Test
    void listsTheProcesses() throws IOException {
        Approvals.verify(written(LayoutWriter.write(layout())));
    }

    @Test
    void writesTheSettingsOfANode() throws IOException {
        LayoutWriter.write(layout());
        Approvals.verify(written(layout().settingsFile(layout().site().copies().getFirst())));
    }

    @Test
    void writesTheVmList() throws IOException {
        LayoutWriter.write(layout());
        Approvals.verify(written(layout().vmFile()));
    }
}
