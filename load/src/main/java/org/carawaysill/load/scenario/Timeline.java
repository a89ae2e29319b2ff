package org.carawaysill.load.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * The phases of a run: a warm-up that is not measured, a steady phase at the normal rate, then each trigger and its
 * recovery.
 *
 * <p>Invariant: the windows are consecutive without gaps. Immutable and thread safe.
 *
 * @param warmUp the time for just-in-time compilation and for the policies to adapt
 * @param steady the phase at the normal rate, the reference for recovery
 * @param triggers the windows in which the triggers are active
 * @param recoveries the window after each trigger
 */
public record Timeline(Window warmUp, Window steady, List<Window> triggers, List<Window> recoveries) {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final double WARM_UP_SHARE = 0.25;
    private static final double STEADY_SHARE = 0.15;

    public Timeline {
        triggers = List.copyOf(triggers);
        recoveries = List.copyOf(recoveries);
    }

    /**
     * Divides a run into phases.
     *
     * @param scenario the scenario of the run
     * @param seconds the length of the whole run
     * @return its phases
     */
    public static Timeline of(Scenario scenario, int seconds) {
        long length = seconds * NANOS_PER_SECOND;
        long warmUpEnd = (long) (length * WARM_UP_SHARE);
        long steadyEnd = warmUpEnd + (long) (length * STEADY_SHARE);
        long half = (length - steadyEnd) / (2L * scenario.repetitions());
        List<Window> triggers = new ArrayList<>();
        List<Window> recoveries = new ArrayList<>();
        long start = steadyEnd;
        for (int repetition = 0; repetition < scenario.repetitions(); repetition++) {
            triggers.add(new Window(start, start + half));
            recoveries.add(new Window(start + half, start + 2 * half));
            start += 2 * half;
        }
        return new Timeline(new Window(0, warmUpEnd), new Window(warmUpEnd, steadyEnd), triggers, recoveries);
    }

    /**
     * Returns the end of the last phase.
     *
     * @return nanoseconds from the run's start
     */
    public long endNanos() {
        return recoveries.getLast().endNanos();
    }

    /**
     * Returns whether a trigger is active at a given time.
     *
     * @param atNanos nanoseconds from the run's start
     * @return true inside a trigger
     */
    public boolean triggered(long atNanos) {
        return triggers.stream().anyMatch(window -> window.contains(atNanos));
    }

    /**
     * Returns the name of the phase at a given time.
     *
     * @param atNanos nanoseconds from the run's start
     * @return the phase's name in progress lines
     */
    public String phaseName(long atNanos) {
        if (warmUp.contains(atNanos)) {
            return "warm-up";
        }
        if (steady.contains(atNanos)) {
            return "steady";
        }
        return triggered(atNanos) ? "trigger" : "recovery";
    }
}
