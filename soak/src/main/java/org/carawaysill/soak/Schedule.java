package org.carawaysill.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Invariant;

/**
 * One random schedule: a small fleet, callers, and faults that start at random times, may overlap and may repeat. No
 * fault starts in the last part, by whose end the fleet must have recovered.
 *
 * <p>Invariant: the seed determines the schedule. Not thread safe: one thread runs it.
 */
final class Schedule {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long WARM_UP = 8 * SECOND;
    private static final long FAULTS_END = 28 * SECOND;
    private static final long CALM_START = 40 * SECOND;
    private static final long END = 46 * SECOND;
    private static final int REQUESTS_PER_SECOND = 30;

    private final RandomGenerator random;
    private final EventQueue eventQueue = new EventQueue();
    private final Journal journal;
    private final CachingDocumentParser documentParser = new CachingDocumentParser();
    private final RunLog runLog;
    private final SimulatedPlatform platform = new SimulatedPlatform(eventQueue, documentParser);
    private final SimulatedNetwork network;
    private final Clients clients;
    private final Map<NodeName, SimulatedNode> nodes = new TreeMap<>();
    private final Map<ServiceName, List<NodeName>> rosters = new HashMap<>();
    private int entryRosters = 1;
    private double pauseRate;
    private double copyFailureRate;
    private double workTimeFactor = 1;

    Schedule(long seed, int linesKept) {
        random = new SplittableRandom(seed);
        journal = new Journal(linesKept);
        runLog = new RunLog(eventQueue, journal);
        network = new SimulatedNetwork(eventQueue, random);
        clients = new Clients(this, random);
    }

    Result run() {
        startFleet();
        eventQueue.at(WARM_UP - SECOND, this::sendRequests);
        eventQueue.at(WARM_UP, this::injectNextFault);
        eventQueue.at(FAULTS_END, this::publishFinalDocuments);
        eventQueue.runUntil(END);
        clients.checkOutcomes(entryRosters);
        checkConvergence();
        return new Result(journal.breaches(), journal.end(), clients.sent(CALM_START), clients.answered(CALM_START));
    }

    private void startFleet() {
        for (ServiceName service : List.of(Topology.ENTRY, Topology.DEEP)) {
            List<NodeName> roster = new ArrayList<>(Topology.nodes(service, 3));
            rosters.put(service, roster);
            publish(service);
            roster.forEach(node -> eventQueue.in(random.nextLong(SECOND), () -> startNew(node)));
        }
    }

    private void startNew(NodeName name) {
        SimulatedNode node = new SimulatedNode(name, this, random);
        nodes.put(name, node);
        network.add(node);
        node.start();
    }

    private void publish(ServiceName service) {
        platform.publish(service, Topology.document(service, rosters.get(service), "change " + random.nextInt()));
    }

    private void sendRequests() {
        if (eventQueue.now() < END - 2 * SECOND) {
            clients.send();
            eventQueue.in(random.nextLong(2 * SECOND / REQUESTS_PER_SECOND), this::sendRequests);
        }
    }

    private void injectNextFault() {
        if (eventQueue.now() >= FAULTS_END) {
            return;
        }
        Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
        journal.note(eventQueue.now(), "fault: " + fault);
        apply(fault);
        eventQueue.in(random.nextLong(2 * SECOND), this::injectNextFault);
    }

    private void apply(Fault fault) {
        long length = random.nextLong(6 * SECOND);
        switch (fault) {
            case KILL_NODE -> killAndRestart(randomNode(), length);
            case PAUSE_NODE -> randomNode().pause(length);
            case PAUSES_EVERYWHERE -> during(length, () -> pauseRate = 0.002, () -> pauseRate = 0);
            case LOSS ->
                during(length, () -> network.setMessageFaults(0.2, 0.02), () -> network.setMessageFaults(0, 0));
            case PARTITION -> during(length, this::partition, network::heal);
            case PLATFORM_DOWN -> during(length, () -> platform.down(true), () -> platform.down(false));
            case PLATFORM_STALE -> during(length, () -> platform.stale(true), () -> platform.stale(false));
            case PUBLISH -> publish(random.nextBoolean() ? Topology.ENTRY : Topology.DEEP);
            case INVALID_DOCUMENT -> platform.publish(Topology.ENTRY, "service = 7");
            case ROSTER_CHANGE -> changeRoster(random.nextBoolean() ? Topology.ENTRY : Topology.DEEP);
            case PLANNED_STOP -> drainAndRestart(randomNode(), length);
            case SLOW_COPIES -> during(length, () -> workTimeFactor = 6, () -> workTimeFactor = 1);
            case COPY_FAILURES -> during(length, () -> copyFailureRate = 0.1, () -> copyFailureRate = 0);
            default -> throw new IllegalStateException("no such fault: " + fault);
        }
    }

    private void during(long length, Runnable begin, Runnable end) {
        begin.run();
        eventQueue.in(length, end);
    }

    private void killAndRestart(SimulatedNode node, long length) {
        if (node.alive()) {
            node.kill();
            eventQueue.in(length, node::start);
        }
    }

    private void drainAndRestart(SimulatedNode node, long length) {
        if (node.alive() && !node.draining()) {
            node.drain();
            eventQueue.in(random.nextLong(3 * SECOND), () -> platform.leaving(node.name()));
            eventQueue.in(8 * SECOND + length, () -> {
                if (node.alive() && node.draining()) {
                    journal.breach(eventQueue.now(), Invariant.GRACEFUL_STOP, "never stopped: " + node.describe());
                    node.kill();
                }
                if (!node.alive()) {
                    node.start();
                }
            });
        }
    }

    private void partition() {
        Map<NodeName, Integer> sides = new HashMap<>();
        nodes.keySet().forEach(node -> sides.put(node, random.nextInt(2)));
        network.partition(sides);
    }

    /**
     * Replaces one VM of a roster; the old one runs on for a while, as a VM does that has not received the new roster.
     */
    private void changeRoster(ServiceName service) {
        List<NodeName> roster = rosters.get(service);
        NodeName old = roster.remove(random.nextInt(roster.size()));
        NodeName added = new NodeName(service + "-" + (nodes.size() + 1));
        roster.add(added);
        if (service.equals(Topology.ENTRY)) {
            entryRosters++;
        }
        startNew(added);
        publish(service);
        eventQueue.in(random.nextLong(8 * SECOND), () -> {
            platform.gone(old);
            if (nodes.get(old).alive()) {
                nodes.get(old).kill();
            }
        });
    }

    private void publishFinalDocuments() {
        publish(Topology.ENTRY);
        publish(Topology.DEEP);
    }

    private void checkConvergence() {
        rosters.forEach((service, roster) -> roster.forEach(name -> {
            SimulatedNode node = nodes.get(name);
            long version = node.versions().getOrDefault(service, 0L);
            if (node.alive() && !node.draining() && version != platform.version(service)) {
                journal.breach(
                        eventQueue.now(),
                        Invariant.VERSION_NEVER_FALLS,
                        name + " has version " + version + " long after " + platform.version(service));
            }
        }));
    }

    private SimulatedNode randomNode() {
        List<SimulatedNode> all = List.copyOf(nodes.values());
        return all.get(random.nextInt(all.size()));
    }

    /** Returns a random entry node, including nodes that have left the roster, since callers may use an old list. */
    SimulatedNode randomEntryNode() {
        List<SimulatedNode> entries = nodes.values().stream()
                .filter(node -> Topology.serviceOf(node.name()).equals(Topology.ENTRY))
                .toList();
        return entries.get(random.nextInt(entries.size()));
    }

    long now() {
        return eventQueue.now();
    }

    EventQueue eventQueue() {
        return eventQueue;
    }

    Journal journal() {
        return journal;
    }

    CachingDocumentParser documentParser() {
        return documentParser;
    }

    RunLog runLog() {
        return runLog;
    }

    SimulatedPlatform platform() {
        return platform;
    }

    SimulatedNetwork network() {
        return network;
    }

    Clients clients() {
        return clients;
    }

    double pauseRate() {
        return pauseRate;
    }

    long maximumPauseNanos() {
        return 4 * SECOND;
    }

    double copyFailureRate() {
        return copyFailureRate;
    }

    double workTimeFactor() {
        return workTimeFactor;
    }

    private enum Fault {
        KILL_NODE,
        PAUSE_NODE,
        PAUSES_EVERYWHERE,
        LOSS,
        PARTITION,
        PLATFORM_DOWN,
        PLATFORM_STALE,
        PUBLISH,
        INVALID_DOCUMENT,
        ROSTER_CHANGE,
        PLANNED_STOP,
        SLOW_COPIES,
        COPY_FAILURES
    }

    /**
     * The result of a schedule.
     *
     * @param breaches each breach of an invariant
     * @param end the last lines of the journal
     * @param calmSent requests sent in the last part, after the faults
     * @param calmAnswered how many of them were answered
     */
    record Result(List<String> breaches, List<String> end, long calmSent, long calmAnswered) {}
}
