package org.carawaysill.control.options;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The command line of {@code check}. Filled once by its parser, then read only; not thread safe. */
public final class CheckOptions implements CommandOptions {

    /** The word on the command line. */
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
     * Lists the documents.
     *
     * @return their files, at least one
     */
    public List<Path> files() {
        return List.copyOf(files);
    }

    /**
     * Tells what the documents are.
     *
     * @return true for settings of nodes, false for documents of services
     */
    public boolean nodeSettings() {
        return nodeSettings;
    }
}
