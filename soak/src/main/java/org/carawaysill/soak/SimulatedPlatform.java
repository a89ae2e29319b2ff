package org.carawaysill.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.model.vm.VmState;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;

/**
 * Simulates the platform's configuration service and VM list, with rising versions, stale replicas, outages and read
 * delays.
 *
 * <p>Not thread safe: one schedule owns it.
 */
final class SimulatedPlatform {

    private static final long READ_NANOS = 3_000_000L;

    private final EventQueue eventQueue;
    private final CachingDocumentParser documentParser;
    private final Map<ServiceName, Document> published = new HashMap<>();
    private final Map<ServiceName, Document> stale = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Set<NodeName> leaving = new HashSet<>();
    private final Set<NodeName> gone = new HashSet<>();
    private final Set<NodeName> known = new HashSet<>();
    private long version;
    private boolean down;
    private boolean servesStale;

    SimulatedPlatform(EventQueue eventQueue, CachingDocumentParser documentParser) {
        this.eventQueue = eventQueue;
        this.documentParser = documentParser;
    }

    void publish(ServiceName service, String text) {
        version++;
        published.put(service, new Document(version, text));
        if (!down && !servesStale) {
            answerWaiting();
        }
    }

    long version(ServiceName service) {
        return published.get(service).version();
    }

    /** Starts or ends an outage, which also fails the waiting watches. */
    void down(boolean isDown) {
        down = isDown;
        answerWaiting();
    }

    /** Starts or ends serving from a stale replica; once it has caught up, it answers the waiting watches. */
    void stale(boolean isStale) {
        servesStale = isStale;
        stale.clear();
        stale.putAll(published);
        answerWaiting();
    }

    private void answerWaiting() {
        List<Watch> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(this::answer);
    }

    void addVm(NodeName node) {
        known.add(node);
        gone.remove(node);
        leaving.remove(node);
    }

    void leaving(NodeName node) {
        leaving.add(node);
    }

    void gone(NodeName node) {
        gone.add(node);
    }

    void read(SimulatedNode node, Effect.ReadConfiguration read) {
        eventQueue.in(READ_NANOS, () -> answer(new Watch(node, node.incarnation(), read, false)));
    }

    private void answer(Watch watch) {
        ServiceName service = watch.read().service();
        Document document = (servesStale ? stale : published).get(service);
        if (down || document == null) {
            watch.deliver(new Event.ConfigurationReadFailed(service, Step.CONFIGURATION, "platform down"));
        } else if (document.version() > watch.read().knownVersion()) {
            watch.deliver(documentParser.event(service, document.version(), document.text()));
        } else if (watch.expired() || watch.read().maximumWait().isZero()) {
            watch.deliver(new Event.ConfigurationUnchanged(service));
        } else {
            watches.add(watch);
            eventQueue.in(watch.read().maximumWait().toNanos(), () -> {
                if (watches.remove(watch)) {
                    answer(new Watch(watch.node(), watch.incarnation(), watch.read(), true));
                }
            });
        }
    }

    void readVmList(SimulatedNode node) {
        long incarnation = node.incarnation();
        eventQueue.in(READ_NANOS, () -> {
            Map<NodeName, VmState> states = new TreeMap<>();
            known.stream()
                    .filter(vm -> !gone.contains(vm))
                    .forEach(vm -> states.put(vm, leaving.contains(vm) ? VmState.LEAVING : VmState.LIVE));
            if (!down) {
                node.deliver(incarnation, new Event.VmListRead(new VmList(states)));
            }
        });
    }

    private record Document(long version, String text) {}

    private record Watch(SimulatedNode node, long incarnation, Effect.ReadConfiguration read, boolean expired) {
        void deliver(Event event) {
            node.deliver(incarnation, event);
        }
    }
}
