package org.carawaysill.node.policy;

import java.util.concurrent.CompletableFuture;
import org.carawaysill.kernel.duty.Duty;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.policy.NodePolicy;

/**
 * The thread that owns the policy.
 *
 * <p>Invariant: no other thread calls the policy. Thread safe.
 */
public final class PolicyDuty implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "policy";

    private final Duty<Arrival> duty;

    /**
     * Creates the duty of a policy, which doesn't run yet.
     *
     * @param policy the policy, which must not be used by anything else from now on
     * @param clock the clocks of the moments that are passed to the policy
     * @param registry provides the inbox, the counters and the adapters
     */
    public PolicyDuty(NodePolicy policy, NodeClock clock, ServiceRegistry registry) {
        PolicyInbox inbox = registry.require(PolicyInbox.NAME, PolicyInbox.class);
        Counters counters = registry.require(Counters.NAME, Counters.class);
        PolicyWork work = new PolicyWork(policy, clock, new EffectDispatcher(registry), counters);
        this.duty = new Duty<>(NAME, inbox.ring(), work);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        duty.start();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        return duty.stop();
    }

    /**
     * Returns the completion of the thread.
     *
     * @return completes when the thread has ended; fails with the error that ended it
     */
    public CompletableFuture<Void> ended() {
        return duty.ended();
    }
}
