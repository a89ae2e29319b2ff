package org.carawaysill.node;

import org.carawaysill.node.policy.ForwardingPolicy;

/** Runs a node with a policy that needs no configuration. Thread safe. */
public final class ForwardingNodeMain {

    private ForwardingNodeMain() {}

    public static void main(String[] arguments) {
        NodeMain.run(arguments, (settings, start, random) -> new ForwardingPolicy());
    }
}
