package org.carawaysill.load.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.carawaysill.load.layout.LayoutWriter;
import org.carawaysill.load.layout.PolicyName;
import org.carawaysill.load.layout.SiteLayout;
import org.carawaysill.load.site.SiteException;
import org.carawaysill.load.site.SiteReader;
import org.jspecify.annotations.NullUnmarked;
import org.kohsuke.args4j.Option;

/** The sub-command {@code layout}. Not thread safe. */
@NullUnmarked
public final class LayoutCommand implements Subcommand {

    @Option(name = "--site", metaVar = "NAME", usage = "the site")
    private String site = "trinacria";

    @Option(name = "--sites", metaVar = "DIRECTORY", usage = "where the directories of the sites are")
    private Path sites = Path.of("sites");

    @Option(name = "--policy", required = true, usage = "what the nodes run: baseline or carawaysill")
    private PolicyName policy;

    @Option(name = "--directory", required = true, metaVar = "DIRECTORY", usage = "where to write")
    private Path directory;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    @Override
    public boolean help() {
        return help;
    }

    @Override
    public void run(PrintStream out) throws SiteException, IOException {
        SiteLayout layout = new SiteLayout(SiteReader.read(sites, site), sites.resolve(site), policy, directory);
        out.println(LayoutWriter.write(layout));
    }
}
