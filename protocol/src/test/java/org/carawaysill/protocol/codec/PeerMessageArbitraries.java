package org.carawaysill.protocol.codec;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.CancelAttempt;
import org.carawaysill.policy.message.PeerMessage.ConfigurationChange;
import org.carawaysill.policy.message.PeerMessage.ConfigurationDocument;
import org.carawaysill.policy.message.PeerMessage.ConfigurationWanted;
import org.carawaysill.policy.message.PeerMessage.DrainNotice;
import org.carawaysill.policy.message.PeerMessage.Heartbeat;
import org.carawaysill.policy.message.PeerMessage.HolderEntry;
import org.carawaysill.policy.message.PeerMessage.HolderHandover;
import org.carawaysill.policy.message.PeerMessage.LeaseReply;
import org.carawaysill.policy.message.PeerMessage.LeaseRequest;
import org.carawaysill.policy.message.PeerMessage.LeaseVerdict;
import org.carawaysill.policy.message.PeerMessage.LineEdit;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PeerMessage.PeerAnswer;
import org.carawaysill.policy.message.PeerMessage.PeerRequest;
import org.carawaysill.policy.message.PeerMessage.Purpose;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.message.PeerMessage.RosterView;
import org.carawaysill.policy.message.PeerMessage.ServiceCut;

/** Generates every kind of message with all its values. Stateless and thread safe. */
final class PeerMessageArbitraries {

    private static final int MOST_BODY_BYTES = 3000;

    private PeerMessageArbitraries() {}

    static Arbitrary<PeerMessage> messages() {
        return Arbitraries.oneOf(
                requests(),
                answers(),
                attempts().map(CancelAttempt::new),
                Arbitraries.just(new DrainNotice()),
                heartbeats(),
                leaseRequests(),
                leaseReplies(),
                handovers(),
                Combinators.combine(services(), versions()).as(ConfigurationWanted::new),
                Combinators.combine(services(), versions(), texts()).as(ConfigurationDocument::new),
                changes());
    }

    static Arbitrary<PeerMessage> requests() {
        Arbitrary<RequestHead> heads = Combinators.combine(
                        attempts(), requestIdentifiers(), services(), texts(), names())
                .as((attempt, request, service, operation, caller) ->
                        new RequestHead(attempt, request, service, operation, new CallerName(caller)));
        return Combinators.combine(
                        heads,
                        Arbitraries.integers().between(0, Priority.MAXIMUM).map(Priority::new),
                        Arbitraries.of(true, false),
                        texts().optional(),
                        counts(),
                        durations().map(Duration::toNanos),
                        Arbitraries.of(Purpose.class),
                        requestContents())
                .as((head, priority, idempotent, key, count, remaining, purpose, content) -> new PeerRequest(
                        head.attempt(),
                        head.request(),
                        head.service(),
                        head.operation(),
                        head.caller(),
                        priority,
                        idempotent,
                        key,
                        count,
                        remaining,
                        count,
                        purpose,
                        content));
    }

    private record RequestHead(
            AttemptIdentifier attempt,
            RequestIdentifier request,
            ServiceName service,
            String operation,
            CallerName caller) {}

    static Arbitrary<PeerMessage> answers() {
        return Combinators.combine(
                        attempts(), outcomes(), counts(), loads(), cuts().list().ofMaxSize(5))
                .as(PeerAnswer::new);
    }

    private static Arbitrary<PeerMessage> heartbeats() {
        Arbitrary<Map<ServiceName, Long>> inForce =
                Arbitraries.maps(services(), versions()).ofMaxSize(8);
        return Combinators.combine(versions(), loads(), inForce).as(Heartbeat::new);
    }

    private static Arbitrary<PeerMessage> leaseRequests() {
        return Combinators.combine(
                        services(),
                        rosterMembers(),
                        versions().list().ofSize(5),
                        durations().map(Duration::toNanos),
                        Arbitraries.longs(),
                        Arbitraries.longs(),
                        rosterViews())
                .as((service, member, numbers, duration, digest, previous, rosters) -> new LeaseRequest(
                        service,
                        member,
                        numbers.get(0),
                        numbers.get(1),
                        numbers.get(2),
                        duration,
                        numbers.get(3),
                        digest,
                        previous,
                        numbers.get(4),
                        rosters));
    }

    private static Arbitrary<PeerMessage> leaseReplies() {
        return Combinators.combine(
                        services(),
                        rosterMembers(),
                        versions().list().ofSize(5),
                        Arbitraries.of(LeaseVerdict.class),
                        Arbitraries.of(true, false),
                        rosterViews())
                .as((service, member, numbers, verdict, recovering, rosters) -> new LeaseReply(
                        service,
                        member,
                        numbers.get(0),
                        verdict,
                        recovering,
                        numbers.get(1),
                        numbers.get(2),
                        numbers.get(3),
                        numbers.get(4),
                        rosters));
    }

    private static Arbitrary<RosterMember> rosterMembers() {
        return Combinators.combine(
                        names().map(NodeName::new),
                        names(),
                        Arbitraries.integers().between(1, 65_535))
                .as(RosterMember::new);
    }

    private static Arbitrary<List<RosterView>> rosterViews() {
        return Combinators.combine(versions(), rosterMembers().list().ofMaxSize(4))
                .as(RosterView::new)
                .list()
                .ofMaxSize(3);
    }

    private static Arbitrary<PeerMessage> handovers() {
        Arbitrary<OptionalLong> minted =
                versions().optional().map(time -> time.map(OptionalLong::of).orElseGet(OptionalLong::empty));
        Arbitrary<HolderEntry> entries = Combinators.combine(
                        requestIdentifiers(),
                        minted,
                        Arbitraries.integers(),
                        outcomes().optional())
                .as(HolderEntry::new);
        return Combinators.combine(
                        services(),
                        Arbitraries.longs(),
                        versions(),
                        versions(),
                        counts(),
                        counts(),
                        entries.list().ofMaxSize(5))
                .as(HolderHandover::new);
    }

    private static Arbitrary<PeerMessage> changes() {
        Arbitrary<LineEdit> edits = Combinators.combine(
                        counts(), counts(), texts().list().ofMaxSize(4))
                .as(LineEdit::new);
        return Combinators.combine(
                        services(), versions(), versions(), edits.list().ofMaxSize(4), Arbitraries.integers())
                .as(ConfigurationChange::new);
    }

    private static Arbitrary<Outcome> outcomes() {
        Arbitrary<Optional<NodeName>> peers = names().map(NodeName::new).optional();
        Arbitrary<Outcome> answered = Combinators.combine(Arbitraries.integers().between(100, 599), headers(), bodies())
                .as((status, headers, body) -> new Outcome.Answered(new AnswerContent(status, headers, body)));
        Arbitrary<Outcome> notRun = Combinators.combine(
                        Arbitraries.of(RefusalReason.class), durations(), Arbitraries.of(Step.class), peers)
                .as(Outcome.NotRun::new);
        Arbitrary<Outcome> unknown = Combinators.combine(
                        Arbitraries.of(UnknownReason.class), Arbitraries.of(Step.class), peers)
                .as(Outcome.Unknown::new);
        return Arbitraries.oneOf(answered, notRun, unknown);
    }

    private static Arbitrary<RequestContent> requestContents() {
        return Combinators.combine(
                        Arbitraries.of("GET", "POST", "PUT"), words().map(word -> "/" + word), headers(), bodies())
                .as(RequestContent::new);
    }

    private static Arbitrary<List<Header>> headers() {
        return Combinators.combine(words(), words()).as(Header::new).list().ofMaxSize(6);
    }

    private static Arbitrary<Body> bodies() {
        return Arbitraries.bytes()
                .array(byte[].class)
                .ofMaxSize(MOST_BODY_BYTES)
                .map(Body::wrap);
    }

    private static Arbitrary<LoadReport> loads() {
        return Combinators.combine(counts(), counts(), counts(), levels()).as(LoadReport::new);
    }

    private static Arbitrary<ServiceCut> cuts() {
        return Combinators.combine(services(), levels()).as(ServiceCut::new);
    }

    private static Arbitrary<Integer> levels() {
        return Arbitraries.integers().between(0, Priority.MAXIMUM + 1);
    }

    private static Arbitrary<Integer> counts() {
        return Arbitraries.integers().greaterOrEqual(0);
    }

    private static Arbitrary<Long> versions() {
        return Arbitraries.longs().greaterOrEqual(0);
    }

    private static Arbitrary<Duration> durations() {
        return Arbitraries.longs().between(0, Duration.ofDays(30).toNanos()).map(Duration::ofNanos);
    }

    private static Arbitrary<AttemptIdentifier> attempts() {
        return Combinators.combine(Arbitraries.longs(), Arbitraries.longs()).as(AttemptIdentifier::new);
    }

    private static Arbitrary<RequestIdentifier> requestIdentifiers() {
        return Combinators.combine(Arbitraries.longs(), Arbitraries.longs()).as(RequestIdentifier::new);
    }

    private static Arbitrary<ServiceName> services() {
        return names().map(ServiceName::new);
    }

    private static Arbitrary<String> names() {
        return words();
    }

    private static Arbitrary<String> words() {
        return Arbitraries.strings().withCharRange('!', '~').ofMinLength(1).ofMaxLength(20);
    }

    /** Any text without half a surrogate pair, which UTF-8 can't carry. */
    private static Arbitrary<String> texts() {
        return Arbitraries.strings()
                .withChars("\u0000\t\r\n aZ0\u00e8\u0416\u20ac\uffff")
                .ofMaxLength(60);
    }
}
