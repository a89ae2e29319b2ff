package org.carawaysill.load.site;

import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Importance;

/**
 * A kind of request that callers send to a site.
 *
 * <p>Immutable and thread safe.
 *
 * @param name its name in reports
 * @param service the entry service
 * @param method the HTTP method
 * @param path the HTTP path, in which {@code *} is replaced by an identifier
 * @param caller the caller that sends it
 * @param importance the importance that the published selectors assign to it
 * @param retryCredits the retries that the published selectors allow it over the whole chain
 * @param surges whether a surge raises its rate
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
     * Returns the path of one request.
     *
     * @param identifier the identifier that replaces {@code *}
     * @return the path
     */
    public String pathFor(String identifier) {
        return path.replace("*", identifier);
    }

    /**
     * Returns whether the operation is refused only after less important traffic.
     *
     * @return true for important and critical operations
     */
    public boolean important() {
        return importance.compareTo(Importance.IMPORTANT) >= 0;
    }
}
