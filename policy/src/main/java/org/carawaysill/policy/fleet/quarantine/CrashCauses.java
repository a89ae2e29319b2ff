package org.carawaysill.policy.fleet.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.carawaysill.model.request.Fingerprint;

/**
 * The requests that are taken for causes of crashes, and what that says of others.
 *
 * <p>One whose crashes all have other causes was there by coincidence, and is none. Those with the fewest crashes are looked at
 * first, in an order that is the same on all nodes. Immutable, as long as the suspects don't change.
 */
final class CrashCauses {

    private final List<Suspect> causes;
    private final Set<Long> certain;

    CrashCauses(Collection<Suspect> suspects) {
        causes = find(suspects);
        certain = crashesOf(causes.stream().filter(Suspect::isCertain).toList());
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
        suspects.forEach(suspect -> crashes.addAll(suspect.possible()));
        return crashes;
    }

    /**
     * All crashes whose cause is beyond doubt.
     *
     * <p>Guards against one request that is taken for the cause by coincidence and makes the next one look guilty too.
     */
    Set<Long> explained() {
        return new HashSet<>(certain);
    }

    /** For how many crashes a request is still suspected: not for those that another one is the cause of beyond doubt. */
    int openCrashes(Suspect suspect) {
        if (causes.contains(suspect)) {
            return suspect.uncleared().size();
        }
        if (suspect.isCause()) {
            return 0;
        }
        Set<Long> left = suspect.uncleared();
        left.removeAll(certain);
        return left.size();
    }
}
