package org.carawaysill.load.site;

import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Importance;

/**
 * One kind of request that callers send to a site.
 *
 * <p>Immutable and thread safe.
 *
 * @param name its name in reports
 * @param service the entry service
 * @param method the HTTP method
 * @param path the HTTP path; {@code *} stands for an identifier
 * @param caller who sends it
 * @param importance what the published selectors grant it
 * @param retryCredits the retries that the published selectors grant it over the whole chain
 * @param surges whether a surge multiplies it
 * @param share its share of the normal rate, from 0 to 1
 */
public record LoadOperation(
        String name,
        ServiceName service,
        String method,
        String path,
        CallerName caller,
        Importance importance,
        int retryCredits,
        boolean surges,
        double share) {

    public LoadOperation {
        Checks.notNegative("retry-credits", retryCredits);
        Checks.positive("share", share);
    }

    /**
     * Fills the path.
     *
     * @param identifier the identifier that takes the place of {@code *}
     * @return the path of one request
     */
    public String pathFor(String identifier) {
        return path.replace("*", identifier);
    }

    /**
     * Tells whether operators want this refused only after less important traffic.
     *
     * @return true for important and critical operations
     */
    public boolean important() {
        return importance.compareTo(Importance.IMPORTANT) >= 0;
    }
}
