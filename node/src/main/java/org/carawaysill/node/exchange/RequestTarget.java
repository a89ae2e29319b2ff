package org.carawaysill.node.exchange;

/** The target of an HTTP request. Stateless and thread safe. */
public final class RequestTarget {

    private static final String SCHEME_END = "://";

    private RequestTarget() {}

    /**
     * Removes scheme and authority from a target in absolute form, which a client may send to a proxy.
     *
     * @param target the target as received
     * @return path and query
     */
    public static String originForm(String target) {
        int schemeEnd = target.indexOf(SCHEME_END);
        if (target.startsWith("/") || schemeEnd < 0) {
            return target;
        }
        int path = target.indexOf('/', schemeEnd + SCHEME_END.length());
        return path < 0 ? "/" : target.substring(path);
    }
}
