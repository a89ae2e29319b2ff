package org.carawaysill.policy.ownership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.message.PeerMessage.HolderEntry;
import org.carawaysill.policy.message.PeerMessage.HolderHandover;
import org.carawaysill.policy.time.Moment;

/**
 * Hands the table of a leaving holder to its successors, and takes those of others.
 *
 * <p>The successor of a request is the node that ranks next for it, which becomes its holder when the leaving node alone
 * leaves the roster. It vouches for the time of the leaving node only once it has all parts; until then, and for a
 * request that goes to another node, the entries only add to what is known. Not thread safe: one thread owns it.
 */
final class Handovers {

    private static final int MOST_TAKEN = 16;
    private static final int PART_ENTRIES = 1_000;
    private static final long PART_BYTES = 256 * 1024L;
    private static final int ENTRY_BYTES = 64;

    private final NodeName self;
    private final Map<Origin, Set<Integer>> partsTaken = new LinkedHashMap<>();
    private final List<Taken> taken = new ArrayList<>();

    /** One handover of one leaving node. */
    private record Origin(NodeName from, long rosterDigest, Vouch.Interval interval) {}

    /** A handover that arrived whole. */
    private record Taken(NodeName from, Roster roster, Vouch.Interval interval) {}

    Handovers(NodeName self) {
        this.self = self;
    }

    /** Makes the messages that hand a table over; successors without entries get the time vouched for alone. */
    List<Effect> give(ServiceName service, Roster roster, Vouch.Interval interval, List<HolderEntry> entries) {
        Map<NodeName, List<HolderEntry>> bySuccessor = new LinkedHashMap<>();
        roster.names().stream()
                .filter(name -> !name.equals(self))
                .forEach(name -> bySuccessor.put(name, new ArrayList<>()));
        for (HolderEntry entry : entries) {
            successor(roster, self, entry.request())
                    .ifPresent(name -> bySuccessor.get(name).add(entry));
        }
        List<Effect> effects = new ArrayList<>();
        bySuccessor.forEach((name, own) -> effects.addAll(messages(service, roster, interval, name, own)));
        return effects;
    }

    private static List<Effect> messages(
            ServiceName service, Roster roster, Vouch.Interval interval, NodeName to, List<HolderEntry> entries) {
        List<List<HolderEntry>> parts = split(entries);
        List<Effect> messages = new ArrayList<>();
        for (int i = 0; i < parts.size(); i++) {
            HolderHandover part = new HolderHandover(
                    service,
                    roster.digest(),
                    interval.fromMillis(),
                    interval.untilMillis(),
                    i,
                    parts.size(),
                    parts.get(i));
            messages.add(new Effect.SendToPeer(to, part));
        }
        return messages;
    }

    private static List<List<HolderEntry>> split(List<HolderEntry> entries) {
        List<List<HolderEntry>> parts = new ArrayList<>(List.of(new ArrayList<>()));
        long bytes = 0;
        for (HolderEntry entry : entries) {
            long size = ENTRY_BYTES + entry.outcome().map(KeptAnswers::size).orElse(0L);
            boolean full = parts.getLast().size() == PART_ENTRIES || bytes + size > PART_BYTES;
            if (full && !parts.getLast().isEmpty()) {
                parts.add(new ArrayList<>());
                bytes = 0;
            }
            parts.getLast().add(entry);
            bytes += size;
        }
        return parts;
    }

    /** Takes a part; the time is vouched for once all parts were taken whole, under a roster that is known here. */
    void take(Moment now, NodeName from, HolderHandover part, Optional<Roster> roster, HolderTable table) {
        boolean complete = true;
        for (HolderEntry entry : part.entries()) {
            complete &= table.accept(now, entry);
        }
        if (!complete || roster.isEmpty()) {
            return;
        }
        Vouch.Interval interval = new Vouch.Interval(part.vouchedFromMillis(), part.vouchedUntilMillis());
        Origin origin = new Origin(from, part.rosterDigest(), interval);
        Set<Integer> parts = partsTaken.computeIfAbsent(origin, key -> new HashSet<>());
        parts.add(part.part());
        if (parts.size() == part.parts()) {
            partsTaken.remove(origin);
            taken.add(new Taken(from, roster.get(), interval));
        }
        forgetOldest();
    }

    private void forgetOldest() {
        while (taken.size() > MOST_TAKEN) {
            taken.removeFirst();
        }
        while (partsTaken.size() > MOST_TAKEN) {
            partsTaken.remove(partsTaken.keySet().iterator().next());
        }
    }

    /** The times for which former holders of a request vouched to this node. */
    List<Vouch.Interval> intervals(RequestIdentifier request) {
        return taken.stream()
                .filter(handover -> handover.roster.gives(request, handover.from))
                .filter(handover -> successor(handover.roster, handover.from, request)
                        .filter(self::equals)
                        .isPresent())
                .map(Taken::interval)
                .toList();
    }

    private static Optional<NodeName> successor(Roster roster, NodeName leaving, RequestIdentifier request) {
        List<NodeName> others =
                roster.names().stream().filter(name -> !name.equals(leaving)).toList();
        return HolderRank.holder(others, request);
    }
}
