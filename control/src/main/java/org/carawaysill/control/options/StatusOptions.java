package org.carawaysill.control.options;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.NetworkAddress;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.PathOptionHandler;

/** The command line of {@code status}. Not thread safe: the parser fills it once, and then it is only read. */
public final class StatusOptions implements CommandOptions {

    /** The name of the sub-command. */
    public static final String COMMAND = "status";

    private static final Duration DEFAULT_PATIENCE = Duration.ofSeconds(10);

    @Option(name = "--admin", handler = AddressesHandler.class, usage = "the admin addresses of the nodes")
    private List<NetworkAddress> admin = new ArrayList<>();

    @Option(
            name = "--settings",
            metaVar = "FILE",
            handler = PathOptionHandler.class,
            usage = "a node's settings, which hold its admin address; may be given again for each node")
    private List<Path> settings = new ArrayList<>();

    @Option(
            name = "--until",
            metaVar = "SERVICE=VERSION",
            handler = ServiceVersionHandler.class,
            usage = "wait until each node that uses the service has this version, or a newer one, in force")
    private @Nullable ServiceVersion until;

    @Option(
            name = "--patience",
            metaVar = "DURATION",
            handler = DurationHandler.class,
            usage = "how long --until waits, 100ms to 1h; 10s if not given")
    private Duration patience = DEFAULT_PATIENCE;

    @Option(name = "--help", help = true, usage = "show this help")
    private boolean help;

    @Override
    public String command() {
        return COMMAND;
    }

    @Override
    public String purpose() {
        return "Shows the configuration versions in force on each node and which nodes are behind. Exit code 1 if a node"
                + " is behind or does not answer.";
    }

    @Override
    public boolean helpWanted() {
        return help;
    }

    /**
     * Returns the admin addresses given with {@code --admin}.
     *
     * @return the addresses, possibly none
     */
    public List<NetworkAddress> admin() {
        return List.copyOf(admin);
    }

    /**
     * Returns the settings files given with {@code --settings}.
     *
     * @return the files, possibly none
     */
    public List<Path> settings() {
        return List.copyOf(settings);
    }

    /**
     * Returns the version to wait for.
     *
     * @return the service and version, or empty if the operator gave no {@code --until}
     */
    public Optional<ServiceVersion> until() {
        return Optional.ofNullable(until);
    }

    /**
     * Returns how long to wait for the version.
     *
     * @return the maximum wait
     */
    public Duration patience() {
        return patience;
    }
}
