package org.carawaysill.control.fleet;

import java.io.PrintStream;
import java.util.concurrent.CompletionException;
import org.carawaysill.control.ExitStatus;
import org.carawaysill.control.options.DrainOptions;
import org.carawaysill.model.identity.NetworkAddress;

/**
 * Tells nodes to drain. Not thread safe.
 */
public final class FleetDrain {

    private final PrintStream output;
    private final PrintStream errors;

    /**
     * Prepares to order.
     *
     * @param output receives a line for each node that took the order
     * @param errors receives a line for each that did not
     */
    public FleetDrain(PrintStream output, PrintStream errors) {
        this.output = output;
        this.errors = errors;
    }

    /**
     * Orders each node to drain, one after the other.
     *
     * @param options the nodes
     * @return {@link ExitStatus#NOT_SO} if one did not take the order
     */
    public ExitStatus run(DrainOptions options) {
        boolean allTaken = true;
        try (AdminClient client = new AdminClient()) {
            for (NetworkAddress node : options.admin()) {
                allTaken &= drain(client, node);
            }
        }
        return allTaken ? ExitStatus.DONE : ExitStatus.NOT_SO;
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
