package org.carawaysill.policy.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.policy.message.PeerMessage.RosterMember;

/**
 * Tracks which members of rosters are permanently gone, according to the platform's list of VMs.
 *
 * <p>Guards against taking a network partition for the loss of a VM. The list comes from the platform and does not depend
 * on which peers this node can reach. Only time between reads that all lack the VM counts, never the time after the last
 * successful read. A list that lacks this node itself is ignored, and a message from a member cancels its absence. Not
 * thread safe: one thread owns it.
 */
final class VmAbsence {

    private final RosterMember self;
    private final long goneAfterNanos;
    private final Map<RosterMember, Span> absent = new HashMap<>();

    private record Span(long fromNanos, long untilNanos) {}

    VmAbsence(RosterMember self, LeaseSettings settings) {
        this.self = self;
        this.goneAfterNanos = settings.goneAfter().toNanos();
    }

    void read(long now, VmList list, Set<RosterMember> members) {
        absent.keySet().retainAll(members);
        if (!listed(list, self)) {
            return;
        }
        for (RosterMember member : members) {
            if (listed(list, member)) {
                absent.remove(member);
            } else {
                absent.merge(member, new Span(now, now), (span, next) -> new Span(span.fromNanos, now));
            }
        }
    }

    /** Records that a member is live, whatever the list says. */
    void receivedFrom(RosterMember member) {
        absent.remove(member);
    }

    boolean gone(RosterMember member) {
        Span span = absent.get(member);
        return span != null && span.untilNanos - span.fromNanos >= goneAfterNanos;
    }

    /** Returns when an absent member was first found absent, after which it did not act. */
    long absentSinceNanos(RosterMember member) {
        return Optional.ofNullable(absent.get(member)).map(Span::fromNanos).orElse(Long.MAX_VALUE);
    }

    /** Returns whether a member is listed; a VM of its name at another address has replaced it. */
    private static boolean listed(VmList list, RosterMember member) {
        NodeName node = member.node();
        return list.state(node).isPresent()
                && list.host(node).map(member.host()::equals).orElse(true);
    }
}
