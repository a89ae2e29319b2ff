package org.carawaysill.control.options;

import java.util.ArrayList;
import java.util.List;
import org.carawaysill.model.identity.NetworkAddress;
import org.kohsuke.args4j.Option;

/** The command line of {@code drain}. Filled once by its parser, then read only; not thread safe. */
public final class DrainOptions implements CommandOptions {

    /** The word on the command line. */
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
     * Lists the nodes.
     *
     * @return their admin addresses, at least one
     */
    public List<NetworkAddress> admin() {
        return List.copyOf(admin);
    }
}
