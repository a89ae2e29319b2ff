package org.carawaysill.model.configuration;

import java.util.List;

/**
 * Whether a selector matches a request, and if not, why.
 *
 * <p>Immutable and thread safe.
 *
 * @param selector the selector
 * @param mismatches what keeps it from matching; empty if it matches
 */
public record SelectorExplanation(Selector selector, List<SelectorMismatch> mismatches) {

    public SelectorExplanation {
        mismatches = List.copyOf(mismatches);
    }

    /**
     * Tells whether the selector matches.
     *
     * @return true if nothing keeps it from matching
     */
    public boolean matches() {
        return mismatches.isEmpty();
    }
}
