package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.carawaysill.policy.fleet.copy.Copy;

/**
 * The nodes of copies whose entries vanished without a planned stop.
 *
 * <p>Guards against using an allowance twice on the two sides of a partition: the entries of the nodes behind it lapse
 * at the platform, while these nodes keep serving their callers. Not thread safe: owned by the policy.
 */
final class LapsedNodes {

    /**
     * How long a lapsed node is counted: longer than partitions usually last. A VM that is lost for good reserves its
     * part of the allowances for this time.
     */
    private static final long COUNTED_NANOS = Duration.ofSeconds(30).toNanos();

    private final Map<String, Long> untilByHost = new HashMap<>();

    void add(long now, Copy copy) {
        if (!copy.record().draining()) {
            untilByHost.put(copy.record().address().host(), now + COUNTED_NANOS);
        }
    }

    /** Returns the number of distinct hosts that are published or lapsed. */
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
