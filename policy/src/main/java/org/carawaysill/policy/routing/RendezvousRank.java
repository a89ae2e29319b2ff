package org.carawaysill.policy.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.carawaysill.model.identity.NodeName;

/**
 * Ranks nodes for a key by rendezvous hashing (highest random weight).
 *
 * <p>Invariant: every process ranks the same nodes equally for the same key, and adding or removing a node doesn't
 * change the order of the others. Stateless and thread safe.
 */
public final class RendezvousRank {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousRank() {}

    /**
     * Orders nodes by their weight for a key.
     *
     * @param key the key to place
     * @param nodes the candidates
     * @return the candidates in descending rank
     */
    public static List<NodeName> rank(String key, Collection<NodeName> nodes) {
        long seed = hash(FNV_OFFSET, key);
        return nodes.stream()
                .sorted(Comparator.comparingLong((NodeName node) -> weight(seed, node))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private static long weight(long seed, NodeName node) {
        return mix(hash(seed, node.value()));
    }

    private static long hash(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /**
     * Applies the finalizer of SplitMix64, since FNV alone gives similar hashes for names that differ only in their
     * last digit.
     */
    private static long mix(long value) {
        long first = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        long second = (first ^ (first >>> 27)) * 0x94d049bb133111ebL;
        return second ^ (second >>> 31);
    }
}
