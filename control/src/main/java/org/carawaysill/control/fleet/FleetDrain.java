package org.carawaysill.control.fleet;

import java.io.PrintStream;
import java.util.concurrent.CompletionException;
import org.carawaysill.control.ExitStatus;
import org.carawaysill.control.options.DrainOptions;
import org.carawaysill.model.identity.NetworkAddress;

/**
 * Orders nodes to drain. Not thread safe.
 */
public final class FleetDrain {

    private final PrintStream output;
    private final PrintStream errors;

    /**
     * Creates the command.
     *
     * @param output receives a line for each node that accepted the order
     * @param errors receives a line for each node that did not
     */
    public FleetDrain(PrintStream output, PrintStream errors) {
        this.output = output;
        this.errors = errors;
    }

    /**
     * Orders each node to drain, one after the other.
     *
     * @param options the nodes
     * @return {@link ExitStatus#CHECK_FAILED} if a node did not accept the order
     */
    public ExitStatus run(DrainOptions options) {
        boolean allAccepted = true;
        try (AdminClient client = new AdminClient()) {
            for (NetworkAddress node : options.admin()) {
                allAccepted &= drain(client, node);
            }
        }
        return allAccepted ? ExitStatus.DONE : ExitStatus.CHECK_FAILED;
    }

    private boolean drain(AdminClient client, NetworkAddress node) {
        try {
            client.drain(node).join();
            output.println(node + ": draining");
            return true;
        } catch (CompletionException e) {
            errors.println(node + ": not draining: " + AdminClient.reason(e.getCause()));
            return false;
        }
    }
}
