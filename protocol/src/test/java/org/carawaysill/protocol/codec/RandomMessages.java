package org.carawaysill.protocol.codec;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.EntryVersion;
import org.carawaysill.model.fleet.KnownEntry;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.message.ChangesSince;
import org.carawaysill.policy.message.OrganisationUse;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.AttemptBody;
import org.carawaysill.policy.message.PeerMessage.CancelAttempt;
import org.carawaysill.policy.message.PeerMessage.ConfigurationChange;
import org.carawaysill.policy.message.PeerMessage.ConfigurationDocument;
import org.carawaysill.policy.message.PeerMessage.ConfigurationWanted;
import org.carawaysill.policy.message.PeerMessage.CopyAnswer;
import org.carawaysill.policy.message.PeerMessage.CopyPace;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.carawaysill.policy.message.PeerMessage.DrainNotice;
import org.carawaysill.policy.message.PeerMessage.Entries;
import org.carawaysill.policy.message.PeerMessage.EntriesWanted;
import org.carawaysill.policy.message.PeerMessage.FleetSummary;
import org.carawaysill.policy.message.PeerMessage.GroupSummary;
import org.carawaysill.policy.message.PeerMessage.Heartbeat;
import org.carawaysill.policy.message.PeerMessage.HolderEntry;
import org.carawaysill.policy.message.PeerMessage.HolderHandover;
import org.carawaysill.policy.message.PeerMessage.LeaseReply;
import org.carawaysill.policy.message.PeerMessage.LeaseRequest;
import org.carawaysill.policy.message.PeerMessage.LeaseVerdict;
import org.carawaysill.policy.message.PeerMessage.LineEdit;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.PeerMessage.PeerAnswer;
import org.carawaysill.policy.message.PeerMessage.PeerRequest;
import org.carawaysill.policy.message.PeerMessage.PlaceGranted;
import org.carawaysill.policy.message.PeerMessage.Purpose;
import org.carawaysill.policy.message.PeerMessage.ReportWanted;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.message.PeerMessage.RosterView;
import org.carawaysill.policy.message.PeerMessage.RouteCost;
import org.carawaysill.policy.message.PeerMessage.RouteDemand;
import org.carawaysill.policy.message.PeerMessage.ServiceCut;
import org.carawaysill.policy.message.PeerMessage.SlotTime;
import org.carawaysill.policy.message.PeerMessage.Suspicions;
import org.carawaysill.policy.message.PeerMessage.WithdrawAttempt;
import org.carawaysill.policy.message.PublishedState;
import org.carawaysill.policy.message.StateSummary;
import org.carawaysill.policy.message.StateSummary.CallerGroup;
import org.carawaysill.policy.message.StateSummary.NodeState;
import org.carawaysill.policy.message.StateSummary.RankDemand;
import org.carawaysill.policy.message.StateSummary.RouteSummary;
import org.carawaysill.policy.message.StateSummary.ServiceCost;
import org.carawaysill.policy.message.Suspicion;

/** Generates random messages of every kind; the least and greatest values are drawn more often than others. */
record RandomMessages(RandomGenerator random) {

    private static final long MAXIMUM_NANOS = Duration.ofDays(30).toNanos();
    private static final String CHARACTERS = "\u0000\t\r\n aZ0\u00e8\u0416\u20ac\uffff";

    PeerMessage next() {
        return switch (random.nextInt(23)) {
            case 0 -> request();
            case 1 -> answer();
            case 2 -> new CancelAttempt(attempt());
            case 3 -> new DrainNotice();
            case 4 -> new Heartbeat(version(), load(), versions());
            case 5 -> leaseRequest();
            case 6 -> leaseReply();
            case 7 ->
                new HolderHandover(
                        service(), random.nextLong(), version(), version(), count(), count(), list(this::entry));
            case 8 -> new ConfigurationWanted(service(), version());
            case 9 -> new ConfigurationDocument(service(), version(), text());
            case 10 -> copyRequest();
            case 11 -> nodeReport();
            case 12 -> wanted();
            case 14 ->
                new CopyAnswer(
                        attempt(),
                        outcome(),
                        load(),
                        list(() -> new SlotTime(service(), random.nextFloat())),
                        random.nextBoolean());
            case 13 -> new Entries(version(), revision(), random.nextBoolean(), list(this::published));
            case 15 -> new ReportWanted();
            case 20 -> new PlaceGranted(attempt());
            case 21 -> new AttemptBody(attempt(), body());
            case 22 -> new WithdrawAttempt(attempt());
            case 16 -> new GroupSummary(summary());
            case 17 -> new FleetSummary(summary());
            case 18 -> new Suspicions(service(), list(this::suspicion));
            default -> new ConfigurationChange(service(), version(), version(), list(this::edit), random.nextInt());
        };
    }

    PeerRequest request() {
        return new PeerRequest(
                attempt(),
                requestIdentifier(),
                service(),
                text(),
                new CallerName(word()),
                new Priority(random.nextInt(Priority.MAXIMUM + 1)),
                random.nextBoolean(),
                optional(this::text),
                count(),
                nanos(),
                count(),
                element(Purpose.values()),
                new RequestContent(word(), "/" + word(), list(this::header), body()));
    }

    private CopyRequest copyRequest() {
        return new CopyRequest(
                attempt(),
                word(),
                service(),
                new CopyName(word()),
                service(),
                optional(() -> new OrganisationName(word())),
                text(),
                count(),
                random.nextBoolean(),
                count(),
                nanos(),
                nanos(),
                random.nextBoolean(),
                limit(),
                text(),
                node(),
                random.nextBoolean(),
                new RequestContent(word(), "/" + word(), list(this::header), body()));
    }

    private NodeReport nodeReport() {
        return new NodeReport(
                version(),
                publishedState(),
                random.nextBoolean(),
                random.nextBoolean(),
                random.nextBoolean(),
                service(),
                load(),
                random.nextFloat(),
                random.nextBoolean(),
                random.nextBoolean(),
                list(this::demand),
                list(() -> new RouteCost(text(), service(), random.nextFloat())),
                list(this::use));
    }

    private Suspicion suspicion() {
        return new Suspicion(
                new Fingerprint(random.nextLong(), random.nextLong()),
                Set.copyOf(list(random::nextLong)),
                Set.copyOf(list(random::nextLong)),
                Set.copyOf(list(random::nextLong)),
                count(),
                nanos());
    }

    private PublishedState publishedState() {
        return new PublishedState(version(), random.nextLong());
    }

    private StateSummary summary() {
        return new StateSummary(publishedState(), list(this::nodeState), list(this::routeSummary), list(this::use));
    }

    private NodeState nodeState() {
        LoadReport load = new LoadReport(
                count(), count(), count(), 0, optional(this::pace), random.nextBoolean(), random.nextFloat());
        return new NodeState(node(), service(), random.nextBoolean(), random.nextBoolean(), load, random.nextFloat());
    }

    private OrganisationUse use() {
        return new OrganisationUse(new OrganisationName(word()), count());
    }

    private int organisationRank() {
        return random.nextInt(Organisation.MAX_RANK + 1);
    }

    private RouteSummary routeSummary() {
        return new RouteSummary(
                text(),
                list(this::rankDemand),
                list(() -> new ServiceCost(service(), random.nextFloat(), random.nextFloat())));
    }

    private RouteDemand demand() {
        return new RouteDemand(text(), organisationRank(), random.nextFloat(), random.nextFloat());
    }

    private RankDemand rankDemand() {
        return new RankDemand(
                organisationRank(),
                random.nextFloat(),
                list(() -> new CallerGroup(
                        random.nextInt(Float.MAX_EXPONENT + 1), 1 + random.nextInt(1_000_000), random.nextFloat())));
    }

    private EntriesWanted wanted() {
        return new EntriesWanted(
                random.nextBoolean()
                        ? new ChangesSince.AtPosition(version())
                        : new ChangesSince.AtRevision(revision()));
    }

    private Revision revision() {
        return new Revision(version(), version());
    }

    private KnownEntry published() {
        EntryVersion.Stage[] stages = EntryVersion.Stage.values();
        EntryVersion entryVersion = new EntryVersion(version(), version(), stages[random.nextInt(stages.length)]);
        return new KnownEntry(word(), revision(), entryVersion, optional(this::text));
    }

    PeerAnswer answer() {
        return new PeerAnswer(attempt(), outcome(), count(), load(), list(this::cut));
    }

    private LeaseRequest leaseRequest() {
        return new LeaseRequest(
                service(),
                member(),
                version(),
                version(),
                version(),
                nanos(),
                version(),
                random.nextLong(),
                random.nextLong(),
                version(),
                nanos(),
                list(this::roster));
    }

    private LeaseReply leaseReply() {
        return new LeaseReply(
                service(),
                member(),
                version(),
                element(LeaseVerdict.values()),
                random.nextBoolean(),
                nanos(),
                nanos(),
                version(),
                version(),
                nanos(),
                list(this::roster));
    }

    private RosterView roster() {
        return new RosterView(version(), list(this::member));
    }

    private RosterMember member() {
        return new RosterMember(node(), word(), 1 + random.nextInt(65_535));
    }

    private Outcome outcome() {
        return switch (random.nextInt(3)) {
            case 0 -> new Outcome.Answered(new AnswerContent(200 + random.nextInt(400), list(this::header), body()));
            case 1 ->
                new Outcome.NotRun(
                        element(RefusalReason.values()),
                        Duration.ofNanos(nanos()),
                        element(Step.values()),
                        optional(this::node));
            default ->
                new Outcome.Unknown(element(UnknownReason.values()), element(Step.values()), optional(this::node));
        };
    }

    private HolderEntry entry() {
        OptionalLong minted = random.nextBoolean() ? OptionalLong.of(version()) : OptionalLong.empty();
        return new HolderEntry(requestIdentifier(), minted, random.nextInt(), optional(this::outcome));
    }

    private LineEdit edit() {
        return new LineEdit(count(), count(), list(this::text));
    }

    private ServiceCut cut() {
        return new ServiceCut(service(), level());
    }

    private LoadReport load() {
        return new LoadReport(
                count(), count(), count(), level(), optional(this::pace), random.nextBoolean(), random.nextFloat());
    }

    private CopyPace pace() {
        return new CopyPace(random.nextFloat(), random.nextFloat(), random.nextFloat());
    }

    private OptionalDouble limit() {
        return random.nextBoolean() ? OptionalDouble.of(random.nextFloat()) : OptionalDouble.empty();
    }

    private Map<ServiceName, Long> versions() {
        Map<ServiceName, Long> versions = new HashMap<>();
        list(this::service).forEach(service -> versions.put(service, version()));
        return versions;
    }

    private Header header() {
        return new Header(word(), word());
    }

    private Body body() {
        byte[] bytes = new byte[random.nextInt(3000)];
        random.nextBytes(bytes);
        return Body.wrap(bytes);
    }

    private AttemptIdentifier attempt() {
        return new AttemptIdentifier(random.nextLong(), random.nextLong());
    }

    private RequestIdentifier requestIdentifier() {
        return new RequestIdentifier(random.nextLong(), random.nextLong());
    }

    private ServiceName service() {
        return new ServiceName(word());
    }

    private NodeName node() {
        return new NodeName(word());
    }

    private int level() {
        return (int) upTo(Priority.MAXIMUM + 1);
    }

    private int count() {
        return (int) upTo(Integer.MAX_VALUE);
    }

    private long version() {
        return upTo(Long.MAX_VALUE);
    }

    private long nanos() {
        return upTo(MAXIMUM_NANOS);
    }

    private long upTo(long greatest) {
        return switch (random.nextInt(6)) {
            case 0 -> 0;
            case 1 -> greatest;
            default -> random.nextLong(greatest);
        };
    }

    private String word() {
        return random.ints(1 + random.nextInt(22), '!', '~' + 1)
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
    }

    private String text() {
        return random.ints(random.nextInt(60), 0, CHARACTERS.length())
                .collect(StringBuilder::new, (text, at) -> text.append(CHARACTERS.charAt(at)), StringBuilder::append)
                .toString();
    }

    private <T> Optional<T> optional(Supplier<T> values) {
        return random.nextBoolean() ? Optional.of(values.get()) : Optional.empty();
    }

    private <T> List<T> list(Supplier<T> values) {
        return Stream.generate(values).limit(random.nextInt(6)).toList();
    }

    private <T> T element(T[] constants) {
        return constants[random.nextInt(constants.length)];
    }
}
