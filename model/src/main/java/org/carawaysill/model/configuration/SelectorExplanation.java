package org.carawaysill.model.configuration;

import java.util.List;

/**
 * States whether a selector matches a request, and if not, why.
 *
 * <p>Immutable and thread safe.
 *
 * @param selector the selector
 * @param mismatches the labels that prevent a match; empty if the selector matches
 */
public record SelectorExplanation(Selector selector, List<SelectorMismatch> mismatches) {

    public SelectorExplanation {
        mismatches = List.copyOf(mismatches);
    }

    /**
     * Returns whether the selector matches.
     *
     * @return true if there are no mismatches
     */
    public boolean matches() {
        return mismatches.isEmpty();
    }
}
