package org.carawaysill.policy.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.policy.message.PeerMessage.RosterMember;

/**
 * Which members of rosters are gone for good, by the platform's list of VMs.
 *
 * <p>Failure guarded against: a partition taken for a loss. The list comes from the platform and not from whom this node
 * can reach; only time between two reads that both lacked the VM counts, never the time in which no read came through;
 * a list that lacks this very node is not believed, nor what it says of a member that sends messages. Not thread safe: one thread owns it.
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

    /** Notes that a member lives, whatever the list says. */
    void heard(RosterMember member) {
        absent.remove(member);
    }

    boolean gone(RosterMember member) {
        Span span = absent.get(member);
        return span != null && span.untilNanos - span.fromNanos >= goneAfterNanos;
    }

    /** When a member that is absent was first found so; it acted no later. */
    long absentSinceNanos(RosterMember member) {
        return Optional.ofNullable(absent.get(member)).map(Span::fromNanos).orElse(Long.MAX_VALUE);
    }

    /** A VM listed at another IP number has replaced the member under its name. */
    private static boolean listed(VmList list, RosterMember member) {
        NodeName node = member.node();
        return list.state(node).isPresent()
                && list.host(node).map(member.host()::equals).orElse(true);
    }
}
