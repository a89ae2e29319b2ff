package org.carawaysill.policy.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.message.PeerMessage.RosterView;

/**
 * Keeps the rosters under which a node may still act: the newest known one, and older ones until they are closed.
 *
 * <p>A node may have skipped versions or never have seen an older roster, so each node sends the others all rosters that
 * it knows; a new roster is used only after a majority of every known older one agreed. The scheme follows the
 * configuration maps of RAMBO (Lynch and Shvartsman, 2002), with versions ordered by the platform instead of by consensus.
 *
 * <p>Invariants: rosters are ordered by version, neighbours have different members, the newest is never dropped, and a
 * closed roster stays closed. Not thread safe: one thread owns it.
 */
final class RosterHistory {

    private final List<Roster> rosters = new ArrayList<>();
    private long closedBelow;
    private long closedAtNanos = Long.MIN_VALUE;

    Optional<Roster> current() {
        return rosters.isEmpty() ? Optional.empty() : Optional.of(rosters.getLast());
    }

    List<Roster> all() {
        return List.copyOf(rosters);
    }

    /** Returns whether leases may still be in force under an older roster. */
    boolean inTransition() {
        return rosters.size() > 1;
    }

    List<RosterView> views() {
        return rosters.stream().map(Roster::view).toList();
    }

    Optional<Roster> find(long digest) {
        return rosters.stream().filter(roster -> roster.digest() == digest).reduce((older, newer) -> newer);
    }

    boolean names(RosterMember member) {
        return rosters.stream().anyMatch(roster -> roster.members().contains(member));
    }

    long closedBelow() {
        return closedBelow;
    }

    /** Returns the latest possible time of the last closing, {@link Long#MIN_VALUE} for never. */
    long closedAtNanos() {
        return closedAtNanos;
    }

    long closedForNanos(long now) {
        return closedBelow == 0 ? 0 : now - closedAtNanos;
    }

    /** Records that the newest members were published again in a later version. */
    void extend(long version) {
        Roster newest = rosters.removeLast();
        rosters.add(newest.between(newest.first(), Math.max(newest.last(), version)));
    }

    void learn(List<RosterView> views) {
        views.forEach(view -> learn(Roster.of(view)));
    }

    void learn(Roster seen) {
        if (seen.last() < closedBelow) {
            return;
        }
        int before = lastStartedBy(seen.first());
        if (before >= 0 && contains(rosters.get(before), seen)) {
            return;
        }
        if (before >= 0 && seen.first() <= rosters.get(before).last()) {
            split(before, seen);
        } else {
            rosters.add(before + 1, seen);
        }
        joinNeighbours();
    }

    /** Records that no lease can be granted under rosters of lower versions since a time. */
    void close(long version, long atNanos) {
        if (version <= closedBelow) {
            return;
        }
        closedBelow = version;
        closedAtNanos = atNanos;
        Roster newest = rosters.isEmpty() ? null : rosters.getLast();
        rosters.removeIf(roster -> roster != newest && roster.last() < version);
    }

    private int lastStartedBy(long version) {
        int found = -1;
        while (found + 1 < rosters.size() && rosters.get(found + 1).first() <= version) {
            found++;
        }
        return found;
    }

    /** Returns whether a roster adds nothing. Two documents with one version are not expected; the first one seen counts. */
    private static boolean contains(Roster known, Roster seen) {
        boolean within = seen.last() <= known.last();
        boolean sameVersion = seen.first() == known.first() || seen.first() == known.last();
        return within && (known.sameMembers(seen) || sameVersion);
    }

    /** Splits a known roster in two around one that was published within its range of versions. */
    private void split(int index, Roster seen) {
        Roster known = rosters.remove(index);
        rosters.add(index, known.between(known.last(), known.last()));
        rosters.add(index, seen);
        rosters.add(index, known.between(known.first(), known.first()));
    }

    private void joinNeighbours() {
        for (int i = rosters.size() - 1; i > 0; i--) {
            Roster older = rosters.get(i - 1);
            Roster newer = rosters.get(i);
            if (older.sameMembers(newer)) {
                rosters.remove(i);
                rosters.set(i - 1, older.between(older.first(), Math.max(older.last(), newer.last())));
            }
        }
    }
}
