package org.carawaysill.policy.distribution;

import java.util.ArrayList;
import java.util.List;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.ConfigurationCount;
import org.carawaysill.model.request.Invariant;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.effect.Effect;

/**
 * Checks documents, stores those that pass, and puts them in force once the starting gate is open.
 *
 * <p>Invariant: the version in force of a service never falls; this is checked again when a version is put in force.
 * Not thread safe: one thread owns it.
 */
final class Adoption {

    private final NodeName self;
    private final DocumentParser parser;
    private final DocumentSet documents;
    private final StartingGate gate;
    private long revision;

    Adoption(NodeName self, DocumentParser parser, DocumentSet documents, StartingGate gate) {
        this.self = self;
        this.parser = parser;
        this.documents = documents;
        this.gate = gate;
    }

    /**
     * Checks a text that another node sent, in the same way as one from the platform, and stores or refuses it.
     *
     * @param service the document's service
     * @param version the platform's version number
     * @param text the text
     * @return the counts and log lines
     */
    List<Effect> checkAndStore(ServiceName service, long version, String text) {
        if (!isNewVersion(service, version)) {
            return List.of();
        }
        return switch (parser.parse(text, version)) {
            case DocumentParser.Verdict.Valid valid
            when !valid.configuration().service().equals(service) ->
                refuse(service, new RefusedDocument(version, "it names another service"));
            case DocumentParser.Verdict.Valid valid -> store(valid.configuration(), text);
            case DocumentParser.Verdict.Invalid invalid ->
                refuse(service, new RefusedDocument(version, invalid.message()));
        };
    }

    long revision() {
        return revision;
    }

    boolean isNewVersion(ServiceName service, long version) {
        return documents.follows(service) && documents.of(service).isNewVersion(version);
    }

    /**
     * Stores a document that passed the checks.
     *
     * @param configuration its content
     * @param text its text
     * @return the counts and log lines
     */
    List<Effect> store(ServiceConfiguration configuration, String text) {
        ServiceName service = configuration.service();
        if (!documents.follows(service) || !documents.of(service).store(configuration, text)) {
            return List.of();
        }
        revision++;
        if (service.equals(documents.own())) {
            documents.updateFollowed();
        }
        return gate.isOpen() ? putAllInForce() : List.of();
    }

    /**
     * Refuses a document that failed the checks; the version in force stays.
     *
     * @param service the document's service
     * @param document its version and faults
     * @return the counts and log lines; empty if the refusal was already known
     */
    List<Effect> refuse(ServiceName service, RefusedDocument document) {
        if (!documents.of(service).refuse(document)) {
            return List.of();
        }
        String line = "version " + document.version() + " of " + service + " is refused: " + document.message();
        return List.of(new Effect.Count(ConfigurationCount.REFUSED), log(line));
    }

    /** Puts all stored newer versions in force. */
    List<Effect> putAllInForce() {
        List<Effect> effects = new ArrayList<>();
        for (ServiceName service : documents.followed()) {
            effects.addAll(putInForce(documents.of(service)));
        }
        return effects;
    }

    private List<Effect> putInForce(FollowedDocument document) {
        if (document.newest().equals(document.inForce())) {
            return List.of();
        }
        if (document.version() <= document.inForceVersion()) {
            return List.of(new Effect.Count(Invariant.VERSION_NEVER_FALLS));
        }
        document.putInForce();
        revision++;
        String line = "version " + document.version() + " of " + document.service() + " is in force";
        return List.of(new Effect.Count(ConfigurationCount.ADOPTED), log(line));
    }

    private Effect log(String line) {
        return new Effect.LogChange(Step.CONFIGURATION, self, line);
    }
}
