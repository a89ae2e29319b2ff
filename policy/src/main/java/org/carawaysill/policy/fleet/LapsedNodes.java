package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.carawaysill.policy.fleet.copy.Copy;

/**
 * Nodes beside copies whose entries vanished without a planned leave.
 *
 * <p>Guards against the two sides of a partition that use an allowance twice: the entries of the nodes behind it lapse at the
 * platform, while these nodes go on serving their callers. Not thread safe: owned by the policy.
 */
final class LapsedNodes {

    /** Longer than partitions usually last; a VM that is lost for good reserves its part for so long. */
    private static final long COUNTED_NANOS = Duration.ofSeconds(30).toNanos();

    private final Map<String, Long> untilByHost = new HashMap<>();

    void add(long now, Copy copy) {
        if (!copy.record().draining()) {
            untilByHost.put(copy.record().address().host(), now + COUNTED_NANOS);
        }
    }

    /** Returns how many hosts there are, the published and the lapsed ones together. */
    int countWith(long now, Set<String> published) {
        if (untilByHost.isEmpty()) {
            return published.size();
        }
        untilByHost.values().removeIf(until -> until <= now);
        Set<String> all = new HashSet<>(published);
        all.addAll(untilByHost.keySet());
        return all.size();
    }
}
