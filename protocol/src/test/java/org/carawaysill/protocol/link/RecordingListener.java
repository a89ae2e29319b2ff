package org.carawaysill.protocol.link;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PeerMessage;

/** Records the events of a link, and lets a test wait for them. Thread safe. */
final class RecordingListener implements PeerListener {

    /** An event that a link reported. */
    sealed interface Report {

        record Connected(NodeName peer, long incarnation) implements Report {}

        record Lost(NodeName peer) implements Report {}

        record Received(NodeName from, PeerMessage message) implements Report {}

        record Unsent(NodeName peer, PeerMessage message) implements Report {}

        record Faulted(LinkFault fault) implements Report {}
    }

    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    /** Conditions are polled, since they may also depend on state that is not reported here, such as counters. */
    private static final long POLL_MILLIS = 20;

    private final List<Report> reports = new ArrayList<>();

    @Override
    public void connected(NodeName peer, long incarnation) {
        add(new Report.Connected(peer, incarnation));
    }

    @Override
    public void lost(NodeName peer) {
        add(new Report.Lost(peer));
    }

    @Override
    public void received(NodeName from, PeerMessage message) {
        add(new Report.Received(from, message));
    }

    @Override
    public void unsent(NodeName peer, PeerMessage message) {
        add(new Report.Unsent(peer, message));
    }

    @Override
    public void fault(LinkFault fault) {
        add(new Report.Faulted(fault));
    }

    private synchronized void add(Report report) {
        reports.add(report);
        notifyAll();
    }

    synchronized List<Report> reports() {
        return List.copyOf(reports);
    }

    <T extends Report> List<T> of(Class<T> type) {
        return reports().stream().filter(type::isInstance).map(type::cast).toList();
    }

    List<PeerMessage> receivedMessages() {
        return of(Report.Received.class).stream().map(Report.Received::message).toList();
    }

    List<PeerMessage> unsentMessages() {
        return of(Report.Unsent.class).stream().map(Report.Unsent::message).toList();
    }

    void await(Report report) {
        await(all -> all.contains(report));
    }

    /** Waits for a fault of a kind and returns the first one. */
    LinkFault awaitFault(LinkFaultKind kind) {
        await(_ -> fault(kind).isPresent());
        return fault(kind).orElseThrow();
    }

    Optional<LinkFault> fault(LinkFaultKind kind) {
        return of(Report.Faulted.class).stream()
                .map(Report.Faulted::fault)
                .filter(fault -> fault.kind() == kind)
                .findFirst();
    }

    synchronized void await(Predicate<List<Report>> condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.test(List.copyOf(reports))) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new AssertionError("not reported in time; reports: " + reports);
            }
            try {
                wait(Math.min(left, POLL_MILLIS));
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }
}
