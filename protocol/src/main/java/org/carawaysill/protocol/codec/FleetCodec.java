package org.carawaysill.protocol.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.model.request.Body;
import org.carawaysill.policy.message.PeerMessage.AttemptBody;
import org.carawaysill.policy.message.PeerMessage.CopyAnswer;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.PeerMessage.PlaceGranted;
import org.carawaysill.policy.message.PeerMessage.RouteCost;
import org.carawaysill.policy.message.PeerMessage.RouteDemand;
import org.carawaysill.policy.message.PeerMessage.SlotTime;
import org.carawaysill.policy.message.PeerMessage.WithdrawAttempt;
import org.carawaysill.policy.message.PublishedState;
import org.carawaysill.protocol.generated.AttemptBodyFrame;
import org.carawaysill.protocol.generated.CopyAnswerFrame;
import org.carawaysill.protocol.generated.CopyRequestFrame;
import org.carawaysill.protocol.generated.NodeReportFrame;
import org.carawaysill.protocol.generated.PlaceGrantedFrame;
import org.carawaysill.protocol.generated.RouteCostFrame;
import org.carawaysill.protocol.generated.RouteDemandFrame;
import org.carawaysill.protocol.generated.SlotTimeFrame;
import org.carawaysill.protocol.generated.WithdrawAttemptFrame;

/** Encodes and decodes the messages between the nodes of a fleet that shares its routes. Stateless and thread safe. */
final class FleetCodec {

    private FleetCodec() {}

    static CopyRequestFrame encode(CopyRequest request) {
        CopyRequestFrame.Builder frame = CopyRequestFrame.newBuilder()
                .setAttempt(Fields.identifier(request.attempt()))
                .setRequestName(request.requestName())
                .setService(request.service().value())
                .setCopy(request.copy().value())
                .setCallerService(request.callerService().value())
                .setOrganisation(
                        request.organisation().map(OrganisationName::value).orElse(""))
                .setRootRoute(request.rootRoute())
                .setRank(request.rank())
                .setIdempotent(request.idempotent())
                .setDepth(request.depth())
                .setRootAgeNanos(Fields.clampedNanos(request.rootAgeNanos()))
                .setRemainingNanos(Fields.clampedNanos(request.remainingNanos()))
                .setLastChoice(request.lastChoice())
                .setRoute(request.route())
                .setCaller(request.caller().value())
                .setBodyFollows(request.bodyFollows())
                .setContent(ContentCodec.encode(request.content()));
        request.knownLimit().ifPresent(limit -> frame.setKnownLimit((float) limit));
        return frame.build();
    }

    static CopyRequest decode(CopyRequestFrame frame) throws ProtocolFault {
        Fields.requirePresent(frame.hasContent(), "content");
        return new CopyRequest(
                Fields.attempt(frame.hasAttempt(), frame.getAttempt()),
                Fields.singleLine(frame.getRequestName(), "request name"),
                Fields.service(frame.getService()),
                new CopyName(Fields.singleLine(Fields.notBlank(frame.getCopy(), "copy"), "copy")),
                Fields.service(Fields.singleLine(frame.getCallerService(), "caller service")),
                Fields.organisation(frame.getOrganisation()),
                frame.getRootRoute(),
                Fields.notNegative(frame.getRank(), "rank"),
                frame.getIdempotent(),
                Fields.notNegative(frame.getDepth(), "depth"),
                Fields.durationNanos(frame.getRootAgeNanos(), "age of the caller's request"),
                Fields.durationNanos(frame.getRemainingNanos(), "remaining time"),
                frame.getLastChoice(),
                knownLimit(frame),
                frame.getRoute(),
                new NodeName(Fields.notBlank(frame.getCaller(), "caller")),
                frame.getBodyFollows(),
                ContentCodec.decode(frame.getContent()));
    }

    static PlaceGrantedFrame encode(PlaceGranted granted) {
        return PlaceGrantedFrame.newBuilder()
                .setAttempt(Fields.identifier(granted.attempt()))
                .build();
    }

    static PlaceGranted decode(PlaceGrantedFrame frame) throws ProtocolFault {
        return new PlaceGranted(Fields.attempt(frame.hasAttempt(), frame.getAttempt()));
    }

    static WithdrawAttemptFrame encode(WithdrawAttempt withdraw) {
        return WithdrawAttemptFrame.newBuilder()
                .setAttempt(Fields.identifier(withdraw.attempt()))
                .build();
    }

    static WithdrawAttempt decode(WithdrawAttemptFrame frame) throws ProtocolFault {
        return new WithdrawAttempt(Fields.attempt(frame.hasAttempt(), frame.getAttempt()));
    }

    static AttemptBodyFrame encode(AttemptBody body) {
        return AttemptBodyFrame.newBuilder()
                .setAttempt(Fields.identifier(body.attempt()))
                .setBody(BodyCodec.encode(body.body()))
                .build();
    }

    static AttemptBody decode(AttemptBodyFrame frame) throws ProtocolFault {
        return new AttemptBody(
                Fields.attempt(frame.hasAttempt(), frame.getAttempt()),
                Body.wrap(BodyCodec.decode(frame.hasBody(), frame.getBody())));
    }

    private static OptionalDouble knownLimit(CopyRequestFrame frame) throws ProtocolFault {
        return frame.hasKnownLimit()
                ? OptionalDouble.of(Fields.notNegative(frame.getKnownLimit(), "known limit"))
                : OptionalDouble.empty();
    }

    static NodeReportFrame encode(NodeReport report) {
        NodeReportFrame.Builder frame = NodeReportFrame.newBuilder()
                .setSequence(report.sequence())
                .setPublishedPosition(report.published().position())
                .setPublishedDigest(report.published().digest())
                .setReadsPlatform(report.readsPlatform())
                .setLeaving(report.leaving())
                .setTakesWithdrawals(report.takesWithdrawals())
                .setService(report.service().value())
                .setLoad(LoadCodec.encode(report.load()))
                .setWorkSeconds(report.workSeconds())
                .setSameZone(report.sameZone())
                .setSummed(report.summed());
        for (RouteDemand demand : report.demands()) {
            frame.addDemands(RouteDemandFrame.newBuilder()
                    .setRoute(demand.route())
                    .setOrganisationRank(demand.organisationRank())
                    .setOfferedPerSecond(demand.offeredPerSecond())
                    .setCompletedPerSecond(demand.completedPerSecond()));
        }
        for (RouteCost cost : report.costs()) {
            frame.addCosts(RouteCostFrame.newBuilder()
                    .setRoute(cost.route())
                    .setService(cost.service().value())
                    .setSlotSeconds(cost.slotSeconds()));
        }
        report.uses().forEach(use -> frame.addUses(SummaryCodec.encode(use)));
        return frame.build();
    }

    static NodeReport decode(NodeReportFrame frame) throws ProtocolFault {
        List<RouteDemand> demands = new ArrayList<>(frame.getDemandsCount());
        for (RouteDemandFrame demand : frame.getDemandsList()) {
            demands.add(new RouteDemand(
                    demand.getRoute(),
                    Fields.inRange(demand.getOrganisationRank(), 0, Organisation.MAX_RANK, "organisation rank"),
                    Fields.notNegative(demand.getOfferedPerSecond(), "offered per second"),
                    Fields.notNegative(demand.getCompletedPerSecond(), "completed per second")));
        }
        List<RouteCost> costs = new ArrayList<>(frame.getCostsCount());
        for (RouteCostFrame cost : frame.getCostsList()) {
            costs.add(new RouteCost(
                    cost.getRoute(),
                    Fields.service(cost.getService()),
                    Fields.notNegative(cost.getSlotSeconds(), "slot seconds")));
        }
        return new NodeReport(
                Fields.notNegative(frame.getSequence(), "sequence"),
                new PublishedState(
                        Fields.notNegative(frame.getPublishedPosition(), "published position"),
                        frame.getPublishedDigest()),
                frame.getReadsPlatform(),
                frame.getLeaving(),
                frame.getTakesWithdrawals(),
                Fields.service(frame.getService()),
                LoadCodec.decode(frame.hasLoad(), frame.getLoad()),
                Fields.notNegative(frame.getWorkSeconds(), "work seconds"),
                frame.getSameZone(),
                frame.getSummed(),
                demands,
                costs,
                SummaryCodec.decodeUses(frame.getUsesList()));
    }

    static CopyAnswerFrame encode(CopyAnswer answer) {
        CopyAnswerFrame.Builder frame = CopyAnswerFrame.newBuilder()
                .setAttempt(Fields.identifier(answer.attempt()))
                .setOutcome(OutcomeCodec.encode(answer.outcome()))
                .setLoad(LoadCodec.encode(answer.load()))
                .setCopyLeaves(answer.copyLeaves());
        for (SlotTime time : answer.times()) {
            frame.addTimes(SlotTimeFrame.newBuilder()
                    .setService(time.service().value())
                    .setSeconds(time.seconds()));
        }
        return frame.build();
    }

    static CopyAnswer decode(CopyAnswerFrame frame) throws ProtocolFault {
        List<SlotTime> times = new ArrayList<>(frame.getTimesCount());
        for (SlotTimeFrame time : frame.getTimesList()) {
            times.add(new SlotTime(
                    Fields.service(time.getService()), Fields.notNegative(time.getSeconds(), "slot time")));
        }
        return new CopyAnswer(
                Fields.attempt(frame.hasAttempt(), frame.getAttempt()),
                OutcomeCodec.decode(frame.getOutcome()),
                LoadCodec.decode(frame.hasLoad(), frame.getLoad()),
                times,
                frame.getCopyLeaves());
    }
}
