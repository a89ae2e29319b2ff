package org.carawaysill.control.options;

import java.nio.file.Path;
import org.carawaysill.model.identity.CallerName;
import org.kohsuke.args4j.Option;

/** The command line of {@code explain}. Not thread safe: the parser fills it once, and then it is only read. */
public final class ExplainOptions implements CommandOptions {

    /** The name of the sub-command. */
    public static final String COMMAND = "explain";

    private static final String ANONYMOUS = "anonymous";

    @Option(name = "--configuration", metaVar = "FILE", required = true, usage = "the document of the service")
    private Path configuration = Path.of("");

    @Option(name = "--method", metaVar = "METHOD", usage = "the HTTP method of the request; GET if not given")
    private String method = "GET";

    @Option(name = "--path", metaVar = "PATH", required = true, usage = "the path of the request")
    private String path = "";

    @Option(name = "--caller", metaVar = "NAME", usage = "who asks; anonymous if not given")
    private String caller = ANONYMOUS;

    @Option(name = "--help", help = true, usage = "show this help")
    private boolean help;

    @Override
    public String command() {
        return COMMAND;
    }

    @Override
    public String purpose() {
        return "Tells what a request would be: its operation and labels, the selectors that match, and the selector that"
                + " grants each term.";
    }

    @Override
    public boolean helpWanted() {
        return help;
    }

    /**
     * Returns the file of the document.
     *
     * @return the file
     */
    public Path configuration() {
        return configuration;
    }

    /**
     * Returns the method of the request.
     *
     * @return the HTTP method
     */
    public String method() {
        return method;
    }

    /**
     * Returns the path of the request.
     *
     * @return the path, with or without its query
     */
    public String path() {
        return path;
    }

    /**
     * Returns the caller of the request.
     *
     * @return the caller's name
     */
    public CallerName caller() {
        return new CallerName(caller.isBlank() ? ANONYMOUS : caller);
    }
}
