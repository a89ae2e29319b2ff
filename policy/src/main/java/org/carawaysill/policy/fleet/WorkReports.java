package org.carawaysill.policy.fleet;

import java.util.Optional;
import org.carawaysill.model.request.WorkCount;
import org.carawaysill.policy.fleet.copy.CopyGate;
import org.carawaysill.policy.fleet.copy.LocalRun;
import org.carawaysill.policy.fleet.copy.SlotDivision;

/**
 * Counts and logs what the division of the copy's slots between short and long work leads to.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class WorkReports {

    private final Effects effects;
    private final CopyGate gate;
    private Optional<SlotDivision> loggedDivision = Optional.empty();

    WorkReports(Effects effects, CopyGate gate) {
        this.effects = effects;
        this.gate = gate;
    }

    /** Counts a request that waits although a slot is free, which short work will need. */
    void waits(long now, LocalRun run) {
        if (gate.holdsBack(now, run)) {
            effects.count(WorkCount.LONG_HELD_BACK);
        }
    }

    /** Counts a request that is refused on arrival, unless its time was over. */
    void refusedOnArrival(long now, LocalRun run) {
        if (run.deadlineNanos() > now) {
            effects.count(WorkCount.HOPELESS_ON_ARRIVAL);
        }
    }

    /** Counts a request that is refused while it waits, unless its time was over but for a margin. */
    void refusedInQueue(long now, LocalRun run, long margin) {
        if (run.deadlineNanos() - margin > now) {
            effects.count(WorkCount.HOPELESS_IN_QUEUE);
        }
    }

    /** Logs the division of the slots if it has changed considerably. */
    void logDivision(long now) {
        gate.division(now)
                .filter(division -> division.differsFrom(loggedDivision))
                .ifPresent(division -> {
                    loggedDivision = Optional.of(division);
                    effects.log(new Decision.SlotsDivided(division));
                });
    }
}
