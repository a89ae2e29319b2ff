package org.carawaysill.policy.ownership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.message.PeerMessage.RosterView;

/**
 * A published set of members, with the first and the last version known to have published it without another set between.
 *
 * <p>Invariants: members are ordered by name; equal sets have equal digests on all nodes. A configuration that changes
 * only other things keeps the set and so the leases under it. Immutable and thread safe.
 *
 * @param first the first version known to have published the set
 * @param last the last one
 * @param members the nodes with their addresses
 * @param digest 64 bits of a digest over the members, never 0
 */
record Roster(long first, long last, List<RosterMember> members, long digest) {

    private static final Comparator<RosterMember> BY_NAME =
            Comparator.comparing(RosterMember::node).thenComparing(RosterMember::host);

    Roster {
        members = List.copyOf(members);
    }

    static Roster of(ServiceConfiguration configuration) {
        List<RosterMember> members = configuration.copies().stream()
                .map(copy -> new RosterMember(copy.node(), copy.host(), copy.peerPort()))
                .toList();
        return of(new RosterView(configuration.version(), members));
    }

    static Roster of(RosterView view) {
        List<RosterMember> ordered = view.members().stream().sorted(BY_NAME).toList();
        return new Roster(view.version(), view.version(), ordered, digest(ordered));
    }

    /** Returns the form sent to peers, which learn later versions with the same members from the version of the request. */
    RosterView view() {
        return new RosterView(first, members);
    }

    Roster between(long newFirst, long newLast) {
        return new Roster(newFirst, newLast, members, digest);
    }

    boolean sameMembers(Roster other) {
        return digest == other.digest;
    }

    Optional<NodeName> holder(RequestIdentifier request) {
        return HolderRank.holder(names(), request);
    }

    boolean assigns(RequestIdentifier request, NodeName node) {
        return holder(request).filter(node::equals).isPresent();
    }

    List<NodeName> names() {
        return members.stream().map(RosterMember::node).toList();
    }

    private static long digest(List<RosterMember> members) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            for (RosterMember member : members) {
                String line = member.node() + " " + member.host() + " " + member.port() + "\n";
                sha256.update(line.getBytes(StandardCharsets.UTF_8));
            }
            return ByteBuffer.wrap(sha256.digest()).getLong() | 1;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
