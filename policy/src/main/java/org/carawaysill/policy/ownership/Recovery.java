package org.carawaysill.policy.ownership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.carawaysill.policy.message.PeerMessage.RosterMember;

/**
 * Tracks whether this process has recovered the rosters that the previous process on this VM knew.
 *
 * <p>Guards against a node that grants leases under a newer roster, restarts with empty memory and an old document, and
 * then grants to a holder under the old roster beside the holder under the new one, so that the same identifier runs
 * twice. A restarted node therefore grants nothing until a majority of each roster that it knows, not counting members
 * that are recovering themselves, has sent the rosters that they know; each grant of a majority is known to one of them.
 * If too many members restarted for such a majority, every member must have replied, except fewer than a majority that
 * are permanently gone: what none of the members knows is known nowhere. This is the recovery of Viewstamped Replication (Liskov and
 * Cowling, 2012).
 *
 * <p>Not thread safe: one thread owns it.
 */
final class Recovery {

    private final Set<RosterMember> replied = new HashSet<>();
    private final Set<RosterMember> recoveredMembers = new HashSet<>();
    private boolean pending = true;

    Recovery(RosterMember self) {
        replied.add(self);
    }

    boolean pending() {
        return pending;
    }

    void replied(RosterMember member, boolean recovering) {
        if (!pending) {
            return;
        }
        replied.add(member);
        if (recovering) {
            recoveredMembers.remove(member);
        } else {
            recoveredMembers.add(member);
        }
    }

    void check(List<Roster> rosters, Predicate<RosterMember> gone) {
        pending = pending && (rosters.isEmpty() || !rosters.stream().allMatch(roster -> recovered(roster, gone)));
    }

    private boolean recovered(Roster roster, Predicate<RosterMember> gone) {
        List<RosterMember> members = roster.members();
        long recoveredCount =
                members.stream().filter(recoveredMembers::contains).count();
        boolean allReplied = members.stream().allMatch(member -> replied.contains(member) || gone.test(member));
        return recoveredCount > members.size() / 2 || allReplied;
    }
}
