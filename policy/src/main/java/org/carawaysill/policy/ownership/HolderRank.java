package org.carawaysill.policy.ownership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.RequestIdentifier;

/**
 * Ranks the nodes of a roster for a request by rendezvous hashing (Thaler and Ravishankar, 1998).
 *
 * <p>Invariants: the same names give the same ranking on every node, whatever their order; when a node leaves the roster,
 * only the requests for which it ranked first move. Stateless and thread safe.
 */
public final class HolderRank {

    private static final long MULTIPLIER_1 = 0xBF58476D1CE4E5B9L;
    private static final long MULTIPLIER_2 = 0x94D049BB133111EBL;
    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    private HolderRank() {}

    /**
     * Ranks a roster.
     *
     * @param roster the names of its nodes
     * @param request the request
     * @return the names, the request's holder first
     */
    public static List<NodeName> rank(List<NodeName> roster, RequestIdentifier request) {
        return roster.stream().sorted(byWeight(request)).toList();
    }

    /**
     * Returns the holder of a request.
     *
     * @param roster the names of the roster's nodes
     * @param request the request
     * @return the first-ranked node, or empty for an empty roster
     */
    public static Optional<NodeName> holder(List<NodeName> roster, RequestIdentifier request) {
        return roster.stream().min(byWeight(request));
    }

    private static Comparator<NodeName> byWeight(RequestIdentifier request) {
        Comparator<NodeName> heaviestFirst =
                (left, right) -> Long.compareUnsigned(weight(right, request), weight(left, request));
        return heaviestFirst.thenComparing(Comparator.naturalOrder());
    }

    private static long weight(NodeName node, RequestIdentifier request) {
        return mix(mix(hash(node.value()) ^ request.high()) ^ request.low());
    }

    /** FNV-1a over the characters: its definition is fixed, so all nodes compute the same value. */
    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** The finaliser of SplitMix64: each input bit flips each bit of the result with probability one half. */
    private static long mix(long value) {
        long first = (value ^ value >>> 30) * MULTIPLIER_1;
        long second = (first ^ first >>> 27) * MULTIPLIER_2;
        return second ^ second >>> 31;
    }
}
