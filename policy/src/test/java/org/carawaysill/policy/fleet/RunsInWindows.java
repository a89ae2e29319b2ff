package org.carawaysill.policy.fleet;

import java.util.List;

/** Counts the runs of requests in a fleet within windows of time. Stateless and thread safe. */
final class RunsInWindows {

    private RunsInWindows() {}

    /** Returns the largest number of runs within any window of the given length. */
    static int most(VirtualFleet fleet, String organisation, long windowNanos) {
        List<Long> times = fleet.runs.stream()
                .filter(run -> run.organisation()
                        .filter(name -> name.value().equals(organisation))
                        .isPresent())
                .map(VirtualFleet.Run::at)
                .toList();
        return most(times, windowNanos);
    }

    /** Returns the largest number of these times, which are in order, within any window of the given length. */
    static int most(List<Long> times, long windowNanos) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) > windowNanos) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
