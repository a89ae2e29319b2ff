package org.carawaysill.policy.distribution;

import java.util.ArrayList;
import java.util.List;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.ConfigurationCount;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;

/**
 * Handles the outcomes of reads at the platform, and forwards new versions to other nodes.
 *
 * <p>Not thread safe: one thread owns it.
 */
final class PlatformAnswers {

    private final DocumentSet documents;
    private final Adoption adoption;
    private final PeerExchange exchange;
    private final PlatformReads reads;

    PlatformAnswers(DocumentSet documents, Adoption adoption, PeerExchange exchange, PlatformReads reads) {
        this.documents = documents;
        this.adoption = adoption;
        this.exchange = exchange;
        this.reads = reads;
    }

    /**
     * A lagging replica returns an older version than the stored one; an immediate retry would reach the same replica.
     */
    List<Effect> handle(long now, Event.ConfigurationRead read) {
        ServiceName service = read.configuration().service();
        ReadSchedule schedule = reads.schedule(service);
        long held = documents.of(service).version();
        if (read.configuration().version() < held) {
            schedule.failed(now);
            return List.of(new Effect.Count(ConfigurationCount.STALE_READ));
        }
        if (read.configuration().version() == held) {
            schedule.nothingNewer(now);
            return List.of();
        }
        schedule.newerReceived(now);
        List<Effect> effects = new ArrayList<>(adoption.store(read.configuration(), read.text()));
        effects.addAll(exchange.push(service));
        return effects;
    }

    List<Effect> handle(long now, Event.ConfigurationRefused refusal) {
        ServiceName service = refusal.service();
        if (refusal.version() > documents.of(service).highestCheckedVersion()) {
            reads.schedule(service).newerReceived(now);
        } else {
            reads.schedule(service).failed(now);
        }
        return adoption.refuse(service, new RefusedDocument(refusal.version(), refusal.message()));
    }

    List<Effect> handle(long now, Event.ConfigurationUnchanged unchanged) {
        reads.schedule(unchanged.service()).nothingNewer(now);
        return List.of();
    }

    List<Effect> handle(long now, Event.ConfigurationReadFailed failed) {
        reads.schedule(failed.service()).failed(now);
        return List.of(new Effect.Count(ConfigurationCount.READ_FAILED));
    }
}
