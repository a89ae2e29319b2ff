package org.carawaysill.node.policy;

import java.util.random.RandomGenerator;
import org.carawaysill.model.settings.NodeSettings;
import org.carawaysill.policy.NodePolicy;
import org.carawaysill.policy.time.Moment;

/** Creates the policy that a node's settings select. Implementations are thread safe. */
@FunctionalInterface
public interface NodePolicyFactory {

    /**
     * Creates a policy.
     *
     * @param settings the node's settings
     * @param start when the process started; its wall-clock time is the incarnation that other nodes see
     * @param random the policy's own source of randomness
     * @return the policy, which must be used by one thread only
     */
    NodePolicy create(NodeSettings settings, Moment start, RandomGenerator random);
}
