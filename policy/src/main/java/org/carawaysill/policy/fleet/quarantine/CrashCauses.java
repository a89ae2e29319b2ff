package org.carawaysill.policy.fleet.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.carawaysill.model.request.Fingerprint;

/**
 * Determines which suspected requests are taken for causes of crashes, and which suspicions of others follow from that.
 *
 * <p>A request whose crashes are all explained by other causes was in flight by coincidence and is no cause. Requests
 * with the fewest crashes are examined first, in an order that is the same on all nodes. Immutable, as long as the
 * suspects don't change.
 */
final class CrashCauses {

    private final List<Suspect> causes;
    private final Set<Long> explainedByCertain;

    CrashCauses(Collection<Suspect> suspects) {
        causes = find(suspects);
        explainedByCertain =
                crashesOf(causes.stream().filter(Suspect::isCertain).toList());
    }

    private static List<Suspect> find(Collection<Suspect> suspects) {
        List<Suspect> found = new ArrayList<>(suspects);
        found.removeIf(suspect -> !suspect.isCause());
        found.sort(
                Comparator.comparingInt((Suspect suspect) -> suspect.uncleared().size())
                        .thenComparing(Suspect::fingerprint, Fingerprint.ORDER));
        for (Suspect suspect : List.copyOf(found)) {
            List<Suspect> others = new ArrayList<>(found);
            others.remove(suspect);
            if (crashesOf(others).containsAll(suspect.uncleared())) {
                found = others;
            }
        }
        return found;
    }

    private static Set<Long> crashesOf(List<Suspect> suspects) {
        Set<Long> crashes = new HashSet<>();
        suspects.forEach(suspect -> crashes.addAll(suspect.possiblyCaused()));
        return crashes;
    }

    /**
     * Returns the crashes whose cause is certain.
     *
     * <p>Guards against a request that is taken for a cause by coincidence and then makes the next one look like a
     * cause too.
     */
    Set<Long> explained() {
        return new HashSet<>(explainedByCertain);
    }

    /** Returns for how many crashes a request is still suspected: not for those with another, certain cause. */
    int openCrashes(Suspect suspect) {
        if (causes.contains(suspect)) {
            return suspect.uncleared().size();
        }
        if (suspect.isCause()) {
            return 0;
        }
        Set<Long> remaining = suspect.uncleared();
        remaining.removeAll(explainedByCertain);
        return remaining.size();
    }
}
