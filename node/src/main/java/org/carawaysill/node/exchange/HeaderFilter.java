package org.carawaysill.node.exchange;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.carawaysill.model.request.Header;

/**
 * Selects the header fields that a node forwards.
 *
 * <p>Invariants: fields that concern a single connection are never forwarded (RFC 9110, section 7.6.1); of the
 * project's own fields, only the caller's name is forwarded, and only in requests, since the node sets the others
 * itself. Thread safe.
 */
public final class HeaderFilter {

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "http2-settings");

    /** Fields that the node's own client or server sets anew. */
    private static final Set<String> REWRITTEN = Set.of("content-length", "host", "expect");

    private HeaderFilter() {}

    /**
     * Selects the fields of a request.
     *
     * @param fields all fields, in order
     * @return the fields to forward
     */
    public static List<Header> ofRequest(Iterable<Map.Entry<String, String>> fields) {
        return select(fields, true, REWRITTEN);
    }

    /**
     * Selects the fields of an answer.
     *
     * @param fields all fields, in order
     * @param bodyless whether the answer states the length of a body that it doesn't contain
     * @return the fields to forward
     */
    public static List<Header> ofAnswer(Iterable<Map.Entry<String, String>> fields, boolean bodyless) {
        return select(fields, false, bodyless ? Set.of() : REWRITTEN);
    }

    private static List<Header> select(
            Iterable<Map.Entry<String, String>> fields, boolean keepsCaller, Set<String> rewritten) {
        Set<String> nominated = nominatedByConnection(fields);
        List<Header> forwarded = new ArrayList<>();
        for (Map.Entry<String, String> field : fields) {
            String name = field.getKey().toLowerCase(Locale.ROOT);
            boolean own = name.startsWith(CarawaysillHeaders.PREFIX)
                    && !(keepsCaller && name.equalsIgnoreCase(CarawaysillHeaders.CALLER));
            if (!own && !HOP_BY_HOP.contains(name) && !rewritten.contains(name) && !nominated.contains(name)) {
                forwarded.add(new Header(field.getKey(), field.getValue()));
            }
        }
        return forwarded;
    }

    private static Set<String> nominatedByConnection(Iterable<Map.Entry<String, String>> fields) {
        Set<String> nominated = new HashSet<>();
        for (Map.Entry<String, String> field : fields) {
            if (field.getKey().equalsIgnoreCase("connection")) {
                for (String token : field.getValue().split(",")) {
                    nominated.add(token.strip().toLowerCase(Locale.ROOT));
                }
            }
        }
        return nominated;
    }
}
