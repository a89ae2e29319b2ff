package org.carawaysill.load.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import org.carawaysill.load.platform.BenchException;
import org.carawaysill.load.platform.BenchHttp;
import org.carawaysill.load.platform.Readiness;
import org.carawaysill.load.site.Site;
import org.carawaysill.load.site.SiteException;
import org.carawaysill.load.site.SiteReader;
import org.jspecify.annotations.NullUnmarked;
import org.kohsuke.args4j.Option;

/** The sub-command {@code await}. Not thread safe. */
@NullUnmarked
public final class AwaitCommand implements Subcommand {

    @Option(name = "--site", metaVar = "NAME", usage = "the site, whose processes are starting")
    private String site = "trinacria";

    @Option(name = "--sites", metaVar = "DIRECTORY", usage = "where the directories of the sites are")
    private Path sites = Path.of("sites");

    @Option(name = "--ready-seconds", metaVar = "N", usage = "how long to wait at most")
    private int readySeconds = 30;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    @Override
    public boolean help() {
        return help;
    }

    @Override
    public void run(PrintStream out) throws SiteException, BenchException {
        Site awaited = SiteReader.read(sites, site);
        EventLoop.run(
                vertx -> new Readiness(vertx, new BenchHttp(vertx)).await(awaited, Duration.ofSeconds(readySeconds)));
    }
}
