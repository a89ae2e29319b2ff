package org.carawaysill.policy.engine;

import java.util.ArrayList;
import java.util.List;
import org.carawaysill.model.request.Counted;
import org.carawaysill.policy.effect.Effect;

/**
 * Collects the effects of one decision, in order.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class Outbox {

    private List<Effect> effects = new ArrayList<>();

    void add(Effect effect) {
        effects.add(effect);
    }

    void addAll(List<Effect> more) {
        effects.addAll(more);
    }

    void count(Counted counted) {
        effects.add(new Effect.Count(counted));
    }

    List<Effect> drain() {
        List<Effect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }
}
