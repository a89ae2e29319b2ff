package org.carawaysill.policy.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.ConfigurationCount;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.message.PeerMessage.ConfigurationChange;
import org.carawaysill.policy.message.PeerMessage.ConfigurationDocument;

/**
 * Handles the documents and changes that other nodes send, and forwards new versions.
 *
 * <p>Invariant: a text from another node is stored only after the same checks as one from the platform, and a change
 * only if the resulting text has the checksum in the message. Not thread safe: one thread owns it.
 */
final class PeerDocuments {

    private final DocumentSet documents;
    private final Adoption adoption;
    private final PeerExchange exchange;

    PeerDocuments(DocumentSet documents, Adoption adoption, PeerExchange exchange) {
        this.documents = documents;
        this.adoption = adoption;
        this.exchange = exchange;
    }

    List<Effect> handle(NodeName from, ConfigurationDocument document) {
        exchange.recordReceived(from, document.service(), document.version());
        return check(document.service(), document.version(), document.text());
    }

    List<Effect> handle(long now, NodeName from, ConfigurationChange change) {
        ServiceName service = change.service();
        exchange.recordReceived(from, service, change.version());
        if (!adoption.isNewVersion(service, change.version())) {
            return List.of();
        }
        FollowedDocument document = documents.of(service);
        if (change.baseVersion() != document.version()) {
            return List.of(exchange.request(now, from, service, document.version()));
        }
        Optional<String> text = document.history().apply(change);
        if (text.isEmpty()) {
            return List.of(new Effect.Count(ConfigurationCount.BAD_CHANGE), exchange.request(now, from, service, 0));
        }
        return check(service, change.version(), text.get());
    }

    private List<Effect> check(ServiceName service, long version, String text) {
        List<Effect> effects = new ArrayList<>(adoption.checkAndStore(service, version, text));
        effects.addAll(exchange.push(service));
        return effects;
    }
}
