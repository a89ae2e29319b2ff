package org.carawaysill.policy.fleet;

import java.util.List;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.retry.RetryAllowance;
import org.carawaysill.policy.fleet.retry.RetrySettings;

/**
 * Decides whether a request that may have reached a copy may be retried at another copy.
 *
 * <p>Invariants: no more copies get a request than its route allows, and no service gets more retries from this node
 * than this node's part of the fleet's retry allowance. Not thread safe: owned by the policy.
 */
final class RetryLimiter {

    private final PublishedView view;
    private final ReachableNodes reachableNodes;
    private final RetryAllowance allowance;

    RetryLimiter(FleetParts parts) {
        view = parts.view();
        reachableNodes = parts.reachableNodes();
        allowance = new RetryAllowance(parts.settings().retries());
    }

    void settings(RetrySettings newer) {
        allowance.settings(newer);
    }

    void nodeCount(int count) {
        allowance.nodes(count);
    }

    /** Counts a request that is sent for the first time. */
    void countFirstSend(long now, ServiceName service) {
        allowance.countFirstAttempt(now, service);
    }

    /** Decides whether a request may be retried, and takes the retry from the allowance if so. */
    boolean tryTake(long now, OutgoingRequest request) {
        return request.possibleRuns() < request.route().maximumAttempts()
                && hasUntriedCopy(now, request)
                && allowance.takeRetry(now, request.service());
    }

    private boolean hasUntriedCopy(long now, OutgoingRequest request) {
        List<Copy> copies = view.copies().usable(request.service());
        return copies.stream()
                .anyMatch(copy ->
                        !request.tried().contains(copy.record().copy()) && reachableNodes.contains(now, copy.node()));
    }
}
