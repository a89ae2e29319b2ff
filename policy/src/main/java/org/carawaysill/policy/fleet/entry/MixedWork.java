package org.carawaysill.policy.fleet.entry;

import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.fleet.route.MixedServices;

/**
 * What a plan needs to know for routes that use a service with both short and long work.
 *
 * @param services these services
 * @param ownRate the rate of callers' requests at this node
 */
public record MixedWork(MixedServices services, ToDoubleFunction<DemandKey> ownRate) {

    /** Returns whether a request uses such a service, calls included, judged by its known costs. */
    boolean isUsedBy(Map<ServiceName, Double> costs) {
        if (services.isEmpty()) {
            return false;
        }
        for (Map.Entry<ServiceName, Double> cost : costs.entrySet()) {
            if (cost.getValue() > 0 && services.contains(cost.getKey())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a mechanism is in force. */
    boolean uses(Mechanism mechanism, Set<Mechanism> disabled) {
        return !services.isEmpty() && !disabled.contains(mechanism);
    }
}
