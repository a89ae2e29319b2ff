package org.carawaysill.policy.ownership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.carawaysill.policy.message.PeerMessage.RosterMember;

/**
 * Whether this process has made up for what its predecessor on this VM forgot.
 *
 * <p>Failure guarded against: a node promises a newer roster, restarts with empty memory and an old document, and then
 * helps a holder under the old roster, beside the holder under the new one; the same identifier runs twice. A restarted
 * node therefore grants nothing until a majority of each roster that it knows, not counting others that restarted,
 * told it the rosters that they know; one of them remembers each promise that a majority made. Where so many restarted
 * that no such majority is left, all members must have been heard, except fewer than a majority that are gone for good: what
 * none of them remembers is not remembered anywhere. (The recovery of Viewstamped Replication, Liskov and Cowling, 2012.)
 *
 * <p>Not thread safe: one thread owns it.
 */
final class Recovery {

    private final Set<RosterMember> heard = new HashSet<>();
    private final Set<RosterMember> remembering = new HashSet<>();
    private boolean pending = true;

    Recovery(RosterMember self) {
        heard.add(self);
    }

    boolean pending() {
        return pending;
    }

    void heard(RosterMember member, boolean recovering) {
        if (!pending) {
            return;
        }
        heard.add(member);
        if (recovering) {
            remembering.remove(member);
        } else {
            remembering.add(member);
        }
    }

    void check(List<Roster> rosters, Predicate<RosterMember> gone) {
        pending = pending && (rosters.isEmpty() || !rosters.stream().allMatch(roster -> recovered(roster, gone)));
    }

    private boolean recovered(Roster roster, Predicate<RosterMember> gone) {
        List<RosterMember> members = roster.members();
        long remember = members.stream().filter(remembering::contains).count();
        boolean allHeard = members.stream().allMatch(member -> heard.contains(member) || gone.test(member));
        return remember > members.size() / 2 || allHeard;
    }
}
