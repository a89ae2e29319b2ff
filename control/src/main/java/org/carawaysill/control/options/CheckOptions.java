package org.carawaysill.control.options;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The command line of {@code check}. Not thread safe: the parser fills it once, and then it is only read. */
public final class CheckOptions implements CommandOptions {

    /** The name of the sub-command. */
    public static final String COMMAND = "check";

    @Argument(metaVar = "FILE", required = true, multiValued = true, usage = "the documents to check")
    private List<Path> files = new ArrayList<>();

    @Option(name = "--node-settings", usage = "the files are settings of nodes, not documents of services")
    private boolean nodeSettings;

    @Option(name = "--help", help = true, usage = "show this help")
    private boolean help;

    @Override
    public String command() {
        return COMMAND;
    }

    @Override
    public String purpose() {
        return "Checks documents before they are published; each fault is a line FILE:LINE: KEY: MESSAGE.";
    }

    @Override
    public boolean helpWanted() {
        return help;
    }

    /**
     * Returns the files of the documents.
     *
     * @return at least one file
     */
    public List<Path> files() {
        return List.copyOf(files);
    }

    /**
     * Tells which kind of document the files hold.
     *
     * @return true for settings of nodes, false for documents of services
     */
    public boolean nodeSettings() {
        return nodeSettings;
    }
}
