package org.carawaysill.model.configuration;

import java.util.List;
import org.carawaysill.model.request.RequestTerms;

/**
 * The classification of a request by the published configuration.
 *
 * <p>Immutable and thread safe.
 *
 * @param operation the first operation that matches
 * @param terms the terms that the selectors grant
 * @param matched the selectors that match, in published order
 */
public record Classification(Operation operation, RequestTerms terms, List<Selector> matched) {

    public Classification {
        matched = List.copyOf(matched);
    }
}
