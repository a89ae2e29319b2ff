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
 * Hands the table of a leaving holder over to its successors, and accepts the tables of other leaving holders.
 *
 * <p>The successor for a request is the node that ranks next for it, which becomes its holder if only the leaving node
 * leaves the roster. The successor vouches for the leaving node's term only once it has all parts; until then, and for a
 * request whose holder becomes another node, the entries only add to the known requests. Not thread safe: one thread
 * owns it.
 */
final class Handovers {

    private static final int MAXIMUM_KEPT = 16;
    private static final int MAXIMUM_PART_ENTRIES = 1_000;
    private static final long MAXIMUM_PART_BYTES = 256 * 1024L;
    private static final int ENTRY_BYTES = 64;

    private final NodeName self;
    private final Map<Origin, Set<Integer>> receivedParts = new LinkedHashMap<>();
    private final List<CompleteHandover> completeHandovers = new ArrayList<>();

    /** One handover of one leaving node. */
    private record Origin(NodeName from, long rosterDigest, Vouch.Interval interval) {}

    /** A handover of which all parts have arrived. */
    private record CompleteHandover(NodeName from, Roster roster, Vouch.Interval interval) {}

    Handovers(NodeName self) {
        this.self = self;
    }

    /** Creates the messages that hand a table over; successors without entries get only the vouched interval. */
    List<Effect> handOver(ServiceName service, Roster roster, Vouch.Interval interval, List<HolderEntry> entries) {
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
            boolean full = parts.getLast().size() == MAXIMUM_PART_ENTRIES || bytes + size > MAXIMUM_PART_BYTES;
            if (full && !parts.getLast().isEmpty()) {
                parts.add(new ArrayList<>());
                bytes = 0;
            }
            parts.getLast().add(entry);
            bytes += size;
        }
        return parts;
    }

    /** Accepts a part; the interval is vouched for once all parts were accepted in full, under a roster known here. */
    void accept(Moment now, NodeName from, HolderHandover part, Optional<Roster> roster, HolderTable table) {
        boolean complete = true;
        for (HolderEntry entry : part.entries()) {
            complete &= table.accept(now, entry);
        }
        if (!complete || roster.isEmpty()) {
            return;
        }
        Vouch.Interval interval = new Vouch.Interval(part.vouchedFromMillis(), part.vouchedUntilMillis());
        Origin origin = new Origin(from, part.rosterDigest(), interval);
        Set<Integer> parts = receivedParts.computeIfAbsent(origin, key -> new HashSet<>());
        parts.add(part.part());
        if (parts.size() == part.parts()) {
            receivedParts.remove(origin);
            completeHandovers.add(new CompleteHandover(from, roster.get(), interval));
        }
        forgetOldest();
    }

    private void forgetOldest() {
        while (completeHandovers.size() > MAXIMUM_KEPT) {
            completeHandovers.removeFirst();
        }
        while (receivedParts.size() > MAXIMUM_KEPT) {
            receivedParts.remove(receivedParts.keySet().iterator().next());
        }
    }

    /** Returns the intervals for which former holders of a request vouched to this node. */
    List<Vouch.Interval> intervals(RequestIdentifier request) {
        return completeHandovers.stream()
                .filter(handover -> handover.roster.assigns(request, handover.from))
                .filter(handover -> successor(handover.roster, handover.from, request)
                        .filter(self::equals)
                        .isPresent())
                .map(CompleteHandover::interval)
                .toList();
    }

    private static Optional<NodeName> successor(Roster roster, NodeName leaving, RequestIdentifier request) {
        List<NodeName> others =
                roster.names().stream().filter(name -> !name.equals(leaving)).toList();
        return HolderRank.holder(others, request);
    }
}
