package org.carawaysill.control.options;

import java.util.ArrayList;
import java.util.List;
import org.carawaysill.model.identity.NetworkAddress;
import org.kohsuke.args4j.Option;

/** The command line of {@code drain}. Not thread safe: the parser fills it once, and then it is only read. */
public final class DrainOptions implements CommandOptions {

    /** The name of the sub-command. */
    public static final String COMMAND = "drain";

    @Option(
            name = "--admin",
            required = true,
            handler = AddressesHandler.class,
            usage = "the admin addresses of the nodes to drain")
    private List<NetworkAddress> admin = new ArrayList<>();

    @Option(name = "--help", help = true, usage = "show this help")
    private boolean help;

    @Override
    public String command() {
        return COMMAND;
    }

    @Override
    public String purpose() {
        return "Tells nodes to take no new work and to finish what is in flight, before their copies are stopped.";
    }

    @Override
    public boolean helpWanted() {
        return help;
    }

    /**
     * Returns the admin addresses of the nodes.
     *
     * @return at least one address
     */
    public List<NetworkAddress> admin() {
        return List.copyOf(admin);
    }
}
