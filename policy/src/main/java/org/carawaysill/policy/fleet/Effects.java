package org.carawaysill.policy.fleet;

import java.util.ArrayList;
import java.util.List;
import org.carawaysill.model.request.Counted;

/** Collects the effects of one decision in order. Not thread safe: owned by the policy. */
final class Effects {

    private List<FleetEffect> effects = new ArrayList<>();

    void add(FleetEffect effect) {
        effects.add(effect);
    }

    void count(Counted counted) {
        effects.add(new FleetEffect.Count(counted));
    }

    void log(Decision decision) {
        effects.add(new FleetEffect.Log(decision));
    }

    List<FleetEffect> drain() {
        if (effects.isEmpty()) {
            return List.of();
        }
        List<FleetEffect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }
}
