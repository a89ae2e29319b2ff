package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.carawaysill.model.fleet.ClientLimits;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.FleetConfiguration;
import org.carawaysill.model.fleet.Organisations;
import org.carawaysill.model.fleet.PublishedEntry;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.CopyNotice;
import org.carawaysill.model.request.Counted;
import org.carawaysill.model.request.Credential;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.UnwrittenAnswers;
import org.carawaysill.policy.fleet.allowance.AllowanceBounds;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.fleet.publication.PublicationDecoder;
import org.carawaysill.policy.fleet.publication.PublicationDecoder.Publication;
import org.carawaysill.policy.fleet.retry.RetrySettings;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.StateSummary;
import org.carawaysill.policy.time.Moment;

/**
 * Simulates nodes with their policies, copies that call each other, and a platform, in virtual time.
 *
 * <p>The seed determines everything that happens. Not thread safe.
 */
final class VirtualFleet {

    static final long MILLI = 1_000_000;
    /** A quarter of the heap of a deployed node. */
    static final long RECEIVED_BYTES = 12L << 20;

    static final Duration DRAIN_LIMIT = Duration.ofSeconds(2);
    static final Duration STOP_LIMIT = Duration.ofSeconds(6);

    private static final long HOP = MILLI;

    /** An entry that is no longer written lapses after three intervals of 1.5 s. */
    private static final long LAPSE = 4500 * MILLI;

    private static final long READ = 4 * MILLI;

    private final Set<Mechanism> disabledMechanisms;
    final SplittableRandom random;
    final Map<String, VirtualNode> nodes = new LinkedHashMap<>();
    final Map<String, PublishedEntry> platform = new LinkedHashMap<>();
    final Map<String, Publication> meanings = new HashMap<>();
    final List<Run> runs = new ArrayList<>();
    private final PriorityQueue<Timed> agenda =
            new PriorityQueue<>(Comparator.comparingLong(Timed::at).thenComparingLong(Timed::order));
    long now = 1000 * MILLI;
    boolean platformDown;
    /** Connections that silently drop all messages. */
    /** One in this number of answers and cancellations finds no room on its connection; 0 for none. */
    long noRoom;

    private final Set<Set<NodeName>> silenced = new HashSet<>();
    /** Pairs of nodes that can't connect to each other. */
    private final Set<Set<NodeName>> cut = new HashSet<>();

    long answerLost;
    /** Reads of the platform. */
    int reads;

    private final Map<Class<?>, Integer> sent = new HashMap<>();
    /** Requests that were sent to a copy in another availability zone. */
    long sentAcrossZones;
    /** Messages between nodes other than requests, answers and cancellations. */
    final Traffic control = new Traffic();
    /** Requests, answers and cancellations between nodes. */
    final Traffic payload = new Traffic();

    /** The bodies of requests, by the part of their path that selects their route; others have none. */
    final Map<String, Body> bodies = new HashMap<>();
    /** The bytes of bodies of requests that were sent to another node. */
    long bodyBytes;
    /** Those of them that were sent to another availability zone. */
    long bodyBytesAcrossZones;
    /** The body with which each request last ran. */
    final Map<String, Body> bodiesRun = new HashMap<>();
    /** How often nodes counted each kind of event. */
    final Map<Counted, Integer> counts = new HashMap<>();
    /** The attempt for which a place was granted last. */
    AttemptIdentifier lastGranted;
    /** The messages between nodes that are lost on connections that stay alive. */
    Predicate<PeerMessage> vanishing = _ -> false;

    /** The organisations of the next configuration; empty if no keys are checked. */
    Optional<Organisations> organisations = Optional.empty();

    private long order;
    /** The platform's era; empty if the platform states none. */
    OptionalLong era = OptionalLong.of(1);

    private long revision;
    private long version;
    private long texts;
    private long exchanges;

    /** A summary of the whole fleet, and when it was received. */
    record ReceivedSummary(long at, StateSummary summary) {}

    /** A run of a request at a copy. */
    record Run(long at, String requestName, String path, String copy, Optional<OrganisationName> organisation) {}

    /**
     * A request that crashes the copy that runs it.
     *
     * @param prefix the prefix of its path
     * @param soonest the least time in nanoseconds from its start to the crash
     * @param latest the bound of the time in nanoseconds from its start to the crash
     * @param absence the time in nanoseconds until another process listens there
     */
    record CrashingRequest(String prefix, long soonest, long latest, long absence) {}

    /** A snapshot of the platform's state. */
    record PlatformCopy(long revision, Map<String, PublishedEntry> entries) {}

    private record Timed(long at, long order, Runnable action) {}

    VirtualFleet(long seed) {
        this(seed, Set.of());
    }

    /** Creates a fleet with some mechanisms of the policy switched off. */
    VirtualFleet(long seed, Set<Mechanism> disabledMechanisms) {
        this.disabledMechanisms = disabledMechanisms;
        random = new SplittableRandom(seed);
    }

    void at(long time, Runnable action) {
        agenda.add(new Timed(Math.max(time, now), ++order, action));
    }

    void runUntil(long time) {
        while (!agenda.isEmpty() && agenda.peek().at() <= time) {
            Timed next = agenda.poll();
            now = next.at();
            next.action().run();
        }
        now = time;
    }

    PlatformCopy copyOfPlatform() {
        return new PlatformCopy(revision, Map.copyOf(platform));
    }

    /** Restores the platform from a snapshot: later writes are lost, and their revisions are assigned again. */
    void restoreFrom(PlatformCopy copy) {
        revision = copy.revision();
        era = era.isPresent() ? OptionalLong.of(era.getAsLong() + 1) : era;
        platform.clear();
        platform.putAll(copy.entries());
    }

    /** Returns the version of the configuration that was published last. */
    long version() {
        return version;
    }

    void publish(String key, Optional<Publication> meaning) {
        revision++;
        String text = "text " + ++texts;
        meaning.ifPresent(publication -> meanings.put(text, publication));
        platform.put(key, new PublishedEntry(key, revision, meaning.map(_ -> text)));
    }

    void configure(Route... routes) {
        configure(++version, routes);
    }

    /** Publishes a version, possibly again. */
    void configure(long configurationVersion, Route... routes) {
        publish(
                "configuration",
                Optional.of(new Publication.Configured(new FleetConfiguration(
                        configurationVersion,
                        ClientLimits.DEFAULTS,
                        services(routes),
                        List.of(routes),
                        organisations))));
    }

    private static Set<ServiceName> services(Route... routes) {
        Set<ServiceName> services = new HashSet<>();
        for (Route route : routes) {
            route.destinations().forEach(part -> services.add(part.service()));
        }
        return services;
    }

    VirtualNode add(String service, String host, String zone, int slots) {
        VirtualNode node = new VirtualNode(service, host, zone, slots);
        nodes.put(host, node);
        node.publish(false);
        node.start();
        return node;
    }

    /** Returns how many messages of a type nodes sent to one another. */
    int sentCount(Class<? extends PeerMessage> kind) {
        return sent.getOrDefault(kind, 0);
    }

    /** Makes the connection between two nodes drop all messages until one of them resets it. */
    void silence(VirtualNode one, VirtualNode other) {
        silenced.add(Set.of(one.name, other.name));
    }

    /**
     * Ends the connection between two living nodes: messages in flight are lost, both sides notice it, and it is dialled
     * again.
     */
    void resetLink(VirtualNode one, VirtualNode other) {
        one.reset(other.name);
    }

    /** Ends the connection between two living nodes, which can't connect again before a time. */
    void cutLink(VirtualNode one, VirtualNode other, long until) {
        Set<NodeName> ends = Set.of(one.name, other.name);
        cut.add(ends);
        at(until, () -> cut.remove(ends));
        resetLink(one, other);
    }

    /** Returns the exchange of the request that arrived last. */
    ExchangeIdentifier lastExchange() {
        return new ExchangeIdentifier(0, exchanges);
    }

    /** Sends a client's request; the receiver gets the outcome. */
    void send(VirtualNode entry, String name, String path, long clientTimeout, BiConsumer<Long, Outcome> receiver) {
        send(entry, name, path, Credential.NONE, clientTimeout, receiver);
    }

    /** Sends a client's request with a credential; the receiver gets the outcome. */
    void send(
            VirtualNode entry,
            String name,
            String path,
            Credential credential,
            long clientTimeout,
            BiConsumer<Long, Outcome> receiver) {
        entry.arrive(name, path, credential, Optional.of(Duration.ofNanos(clientTimeout)), receiver);
    }

    /** A node, its copy, and their VM. */
    final class VirtualNode {

        final String service;
        final NodeName name;
        final int slots;
        final Map<String, Work> works = new HashMap<>();
        final List<Decision> log = new ArrayList<>();
        private final String zone;
        private final Map<ExchangeIdentifier, BiConsumer<Long, Outcome>> receivers = new HashMap<>();
        private final Set<AttemptIdentifier> atCopy = new LinkedHashSet<>();
        private final List<NodeName> connected = new ArrayList<>();
        /** The latest summary from each aggregator of its zone. */
        final Map<NodeName, ReceivedSummary> summaries = new HashMap<>();

        FleetPolicy policy;
        boolean alive = true;
        boolean readable = true;
        boolean ready;
        boolean stopped;
        /** The factor by which its work takes longer. */
        double speed = 1;
        /** The share of busy slots above which its work takes longer by {@link #slowdownFactor}. */
        double slowdownThreshold = 2;

        double slowdownFactor = 1;
        /** The share of requests that it refuses although it has free slots. */
        double shed;
        /** The share of requests that it answers with an immediate error. */
        double failing;
        /** Whether it accepts requests and answers none, like a copy that lost power or hangs. */
        boolean silent;

        /** What its answers state about it. */
        CopyNotice notice = CopyNotice.NONE;

        /** The answers that its connections have not written to clients and to other nodes. */
        UnwrittenAnswers unreadByClients = UnwrittenAnswers.NONE;

        UnwrittenAnswers unreadByNodes = UnwrittenAnswers.NONE;

        /** The requests that crash the copy when it runs them. */
        Optional<CrashingRequest> crashingRequest = Optional.empty();

        /** Runs right after its copy has crashed. */
        Runnable afterCrash = () -> {};

        /** The number of answers that other nodes' copies gave its present process. */
        int answersReceived;

        /** The number of crashes of its copy. */
        int crashes;

        private boolean copyRuns = true;
        int copyNumber = 1;
        long startedAtMillis;
        private long writes;
        /** Whether its copy should have an entry on the platform. */
        private boolean published = true;

        private boolean draining;
        private long incarnation;
        private long wakeAt = Long.MAX_VALUE;
        private long pausedUntil;

        VirtualNode(String service, String host, String zone, int slots) {
            this.service = service;
            this.name = new NodeName(host);
            this.zone = zone;
            this.slots = slots;
            this.policy = newPolicy();
        }

        private FleetSettings settings(Duration stopLimit) {
            return new FleetSettings(
                    name,
                    new AvailabilityZone(zone),
                    new ServiceName(service),
                    new NetworkAddress(name.value(), 80),
                    DRAIN_LIMIT,
                    stopLimit,
                    new RetrySettings(0.2, 48, Duration.ofSeconds(10)),
                    new AllowanceBounds(Duration.ofSeconds(5), 0.25, 20),
                    RECEIVED_BYTES,
                    disabledMechanisms);
        }

        private FleetPolicy newPolicy() {
            PublicationDecoder decoder = (_, text) -> meanings.get(text);
            return new FleetPolicy(settings(STOP_LIMIT), decoder, random.split(), new Moment(now, now / MILLI));
        }

        /** Changes the time that a planned stop of this node may take. */
        void stopWithin(Duration limit) {
            deliver(new FleetEvent.SettingsChanged(settings(limit)));
        }

        String copy() {
            return name + "#" + copyNumber;
        }

        void publish(boolean leaves) {
            draining = leaves;
            VirtualFleet.this.publish(
                    "copy " + copy(),
                    Optional.of(new Publication.Listed(new CopyRecord(
                            new CopyName(copy()),
                            startedAtMillis,
                            ++writes,
                            new ServiceName(service),
                            new NetworkAddress(name.value(), 80),
                            new AvailabilityZone(zone),
                            slots,
                            leaves,
                            Duration.ZERO))));
        }

        void unpublish() {
            published = false;
            VirtualFleet.this.publish("copy " + copy(), Optional.empty());
        }

        /** Publishes the entry of its copy if the platform does not hold it as it should be. */
        void heartbeat() {
            boolean held = Optional.ofNullable(platform.get("copy " + copy()))
                    .flatMap(PublishedEntry::text)
                    .map(meanings::get)
                    .filter(meaning ->
                            meaning instanceof Publication.Listed(CopyRecord record) && record.draining() == draining)
                    .isPresent();
            if (published && !held) {
                publish(draining);
            } else if (!published && held) {
                unpublish();
            }
        }

        /** Ends the copy's process: its connections close, and nothing listens until another process has started. */
        void crashCopy() {
            if (!copyRuns) {
                return;
            }
            copyRuns = false;
            crashes++;
            List<AttemptIdentifier> lost = List.copyOf(atCopy);
            atCopy.clear();
            deliver(new FleetEvent.CopyCrashed(lost));
            afterCrash.run();
        }

        /** Ends the copy's process; another one listens after a while, and the old one's entry lapses later still. */
        void crashCopy(long absence) {
            if (copyRuns) {
                String former = copy();
                crashCopy();
                at(now + absence, this::replaceCopy);
                at(now + LAPSE, () -> VirtualFleet.this.publish("copy " + former, Optional.empty()));
            }
        }

        private void replaceCopy() {
            copyNumber++;
            copyRuns = true;
            startedAtMillis = now / MILLI;
            publish(false);
        }

        /** Restarts the copy's process under the same name, without the requests that were sent to it. */
        void restartCopy() {
            startedAtMillis = now / MILLI;
            silent = false;
            atCopy.clear();
            publish(false);
        }

        void start() {
            deliver(new FleetEvent.WakeUp());
        }

        /** Kills the process; the copy keeps running, and its calls are cut off. */
        void kill() {
            alive = false;
            incarnation++;
            wakeAt = Long.MAX_VALUE;
            receivers.clear();
            atCopy.clear();
            for (NodeName peer : List.copyOf(connected)) {
                connected.remove(peer);
                VirtualNode other = nodes.get(peer.value());
                other.connected.remove(name);
                at(now + HOP, () -> other.deliver(new FleetEvent.PeerLost(name)));
                other.dialLater(name);
            }
        }

        /** Loses power: its connections show no sign of it. */
        void losePower() {
            alive = false;
            incarnation++;
            wakeAt = Long.MAX_VALUE;
            receivers.clear();
            atCopy.clear();
        }

        private void reset(NodeName peer) {
            VirtualNode other = nodes.get(peer.value());
            if (connected.remove(peer)) {
                silenced.remove(Set.of(name, peer));
                other.connected.remove(name);
                at(now, () -> deliver(new FleetEvent.PeerLost(peer)));
                at(now + HOP, () -> other.deliver(new FleetEvent.PeerLost(name)));
                dialLater(peer);
            }
        }

        void restart() {
            alive = true;
            answersReceived = 0;
            ready = false;
            policy = newPolicy();
            start();
        }

        /** Pauses the process: what happens meanwhile is delivered when it continues, in order. */
        void pause(long until) {
            pausedUntil = until;
        }

        void deliver(FleetEvent event) {
            if (!alive) {
                return;
            }
            if (now < pausedUntil) {
                at(pausedUntil, () -> deliver(event));
                return;
            }
            List<FleetEffect> effects = policy.decide(new Moment(now, now / MILLI), event);
            effects.forEach(this::apply);
            long due = policy.nextWakeNanos();
            if (due < wakeAt) {
                wakeAt = due;
                long of = incarnation;
                at(due, () -> wake(of, due));
            }
        }

        private void wake(long of, long due) {
            if (of == incarnation && wakeAt == due) {
                wakeAt = Long.MAX_VALUE;
                deliver(new FleetEvent.WakeUp());
            }
        }

        private void apply(FleetEffect effect) {
            switch (effect) {
                case FleetEffect.SendToCopy request -> runAtCopy(request);
                case FleetEffect.CancelAtCopy cancel -> atCopy.remove(cancel.attempt());
                case FleetEffect.AnswerExchange answer -> {
                    BiConsumer<Long, Outcome> receiver = receivers.remove(answer.exchange());
                    if (receiver != null) {
                        at(now + HOP, () -> receiver.accept(now, answer.outcome()));
                    }
                }
                case FleetEffect.SendToPeer send -> sendToPeer(send.peer(), send.message());
                case FleetEffect.ConnectPeer connect -> connect(connect.peer());
                case FleetEffect.ReadEntries read -> {
                    reads++;
                    at(now + READ, () -> read(read));
                }
                case FleetEffect.ShowReadiness shown -> ready = shown.ready();
                case FleetEffect.Log logged -> log.add(logged.decision());
                case FleetEffect.StopProcess _ -> stopped = true;
                case FleetEffect.CheckUnwritten _ ->
                    at(now, () -> deliver(new FleetEvent.UnwrittenChecked(unreadByClients, unreadByNodes)));
                case FleetEffect.ResetPeer reset -> reset(reset.peer());
                // The other node, which still knows this one, dials again.
                case FleetEffect.DisconnectPeer disconnect -> reset(disconnect.peer());
                case FleetEffect.Count(Counted counted) -> counts.merge(counted, 1, Integer::sum);
                case FleetEffect.CloseIdleCopyConnections _,
                        FleetEffect.ShowSuspects _,
                        FleetEffect.ShowRateLimit _,
                        FleetEffect.ApplyClientLimits _ -> {}
            }
        }

        private void read(FleetEffect.ReadEntries read) {
            if (platformDown || !readable) {
                deliver(new FleetEvent.EntriesReadFailed(FleetEvent.ReadFailure.REFUSED));
                return;
            }
            long after = read.after().orElse(0);
            boolean complete = read.after().isEmpty();
            if (after > revision) {
                deliver(new FleetEvent.EntriesReadFailed(FleetEvent.ReadFailure.HISTORY_GONE));
                return;
            }
            List<PublishedEntry> changed = platform.values().stream()
                    .filter(entry -> entry.revision() > after
                            && !(complete && entry.text().isEmpty()))
                    .toList();
            deliver(new FleetEvent.EntriesRead(era, revision, complete, changed));
        }

        private void sendToPeer(NodeName peer, PeerMessage message) {
            VirtualNode other = nodes.get(peer.value());
            sent.merge(message.getClass(), 1, Integer::sum);
            boolean crosses = !other.zone.equals(zone);
            boolean carriesWork = isPayload(message);
            (carriesWork ? payload : control).add(message, crosses);
            if (message instanceof PeerMessage.CopyRequest && crosses) {
                sentAcrossZones++;
            }
            countBody(message, crosses);
            boolean mayFindNoRoom = carriesWork && !(message instanceof PeerMessage.CopyRequest);
            boolean full = mayFindNoRoom && noRoom > 0 && random.nextLong(noRoom) == 0;
            if (full || !connected.contains(peer)) {
                at(now, () -> deliver(new FleetEvent.PeerUnsent(peer, message)));
                return;
            }
            at(now + HOP, () -> {
                if (connected.contains(peer) && !silenced.contains(Set.of(name, peer)) && !vanishing.test(message)) {
                    other.receive(name, message);
                }
            });
        }

        private static int bodyBytesOf(PeerMessage message) {
            return switch (message) {
                case PeerMessage.CopyRequest request -> request.content().body().length();
                case PeerMessage.AttemptBody follows -> follows.body().length();
                default -> 0;
            };
        }

        private void countBody(PeerMessage message, boolean crosses) {
            if (message instanceof PeerMessage.PlaceGranted(AttemptIdentifier attempt)) {
                lastGranted = attempt;
            }
            bodyBytes += bodyBytesOf(message);
            bodyBytesAcrossZones += crosses ? bodyBytesOf(message) : 0;
        }

        private void receive(NodeName from, PeerMessage message) {
            if (message instanceof PeerMessage.FleetSummary(StateSummary summary)) {
                summaries.put(from, new ReceivedSummary(now, summary));
            }
            if (message instanceof PeerMessage.CopyAnswer) {
                answersReceived++;
            }
            deliver(new FleetEvent.PeerReceived(from, message));
        }

        private static boolean isPayload(PeerMessage message) {
            return message instanceof PeerMessage.CopyRequest
                    || message instanceof PeerMessage.CopyAnswer
                    || message instanceof PeerMessage.CancelAttempt
                    || message instanceof PeerMessage.PlaceGranted
                    || message instanceof PeerMessage.AttemptBody;
        }

        private void connect(NodeName peer) {
            VirtualNode other = nodes.get(peer.value());
            at(now + 2 * HOP, () -> {
                if (!alive || connected.contains(peer)) {
                    return;
                }
                if (other == null || !other.alive || cut.contains(Set.of(name, peer))) {
                    dialLater(peer);
                    return;
                }
                connected.add(peer);
                other.connected.add(name);
                deliver(new FleetEvent.PeerConnected(peer, other.incarnation));
                other.deliver(new FleetEvent.PeerConnected(name, incarnation));
            });
        }

        private void dialLater(NodeName peer) {
            at(now + 100 * MILLI, () -> connect(peer));
        }

        /** Returns the attempts at the copy. */
        List<AttemptIdentifier> attemptsAtCopy() {
            return List.copyOf(atCopy);
        }

        void arrive(
                String requestName,
                String path,
                Credential credential,
                Optional<Duration> clientTimeout,
                BiConsumer<Long, Outcome> receiver) {
            ExchangeIdentifier exchange = new ExchangeIdentifier(0, ++exchanges);
            if (!alive) {
                at(now + HOP, () -> receiver.accept(now, Outcomes.LOST));
                return;
            }
            receivers.put(exchange, receiver);
            deliver(new FleetEvent.RequestArrived(
                    exchange,
                    requestName,
                    "fleet.example",
                    clientTimeout,
                    credential,
                    new RequestContent("GET", path, List.of(), bodies.getOrDefault(kindOf(path), Body.EMPTY))));
        }

        private void runAtCopy(FleetEffect.SendToCopy request) {
            if (!copyRuns) {
                at(now, () -> deliver(new FleetEvent.CopyAnswered(request.attempt(), Outcomes.UNREACHABLE)));
                return;
            }
            if (atCopy.size() >= slots || shed > 0 && random.nextDouble() < shed) {
                at(
                        now,
                        () -> deliver(
                                new FleetEvent.CopyAnswered(request.attempt(), Outcomes.REFUSED, Optional.of(notice))));
                return;
            }
            runs.add(new Run(now, request.requestName(), request.content().path(), copy(), request.organisation()));
            bodiesRun.put(request.requestName(), request.content().body());
            atCopy.add(request.attempt());
            if (failing > 0 && random.nextDouble() < failing) {
                at(now + 2 * MILLI, () -> answer(request, Outcomes.FAILED));
            } else if (!silent) {
                work(request);
            }
        }

        private void work(FleetEffect.SendToCopy request) {
            String path = request.content().path();
            crashingRequest
                    .filter(of -> path.startsWith(of.prefix()))
                    .ifPresentOrElse(
                            of -> at(now + random.nextLong(of.soonest(), of.latest()), () -> {
                                if (atCopy.contains(request.attempt())) {
                                    crashCopy(of.absence());
                                }
                            }),
                            () -> call(request, works.get(kindOf(path)), 0));
        }

        /** Returns the part of a path that selects its route and its work: up to the second slash. */
        private static String kindOf(String path) {
            return path.substring(0, path.indexOf('/', 1) + 1);
        }

        private void call(FleetEffect.SendToCopy request, Work work, int index) {
            if (!atCopy.contains(request.attempt())) {
                return;
            }
            if (index == work.calls().size()) {
                double factor = atCopy.size() >= slowdownThreshold * slots ? speed * slowdownFactor : speed;
                at(now + (long) (work.draw(random) * factor), () -> answer(request, Outcomes.good(work.answer())));
                return;
            }
            String callName = request.requestName() + ".%016x".formatted(random.nextLong());
            Duration left = Duration.ofNanos(Math.max(0, request.deadlineNanos() - now));
            arrive(callName, work.calls().get(index), Credential.NONE, Optional.of(left), (_, outcome) -> {
                if (outcome instanceof Outcome.Answered answered
                        && answered.content().status() < 500) {
                    call(request, work, index + 1);
                } else {
                    answer(request, Outcomes.FAILED);
                }
            });
        }

        private void answer(FleetEffect.SendToCopy request, Outcome made) {
            if (!atCopy.remove(request.attempt())) {
                return;
            }
            boolean lost = answerLost > 0 && random.nextLong(answerLost) == 0;
            deliver(
                    lost
                            ? new FleetEvent.CopyAnswered(request.attempt(), Outcomes.LOST)
                            : new FleetEvent.CopyAnswered(request.attempt(), made, Optional.of(notice)));
        }
    }
}
