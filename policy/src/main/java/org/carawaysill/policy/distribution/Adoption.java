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
    List<Effect> check(ServiceName service, long version, String text) {
        if (!isNews(service, version)) {
            return List.of();
        }
        return switch (parser.parse(text, version)) {
            case DocumentParser.Verdict.Valid valid
            when !valid.configuration().service().equals(service) ->
                refuse(service, new RefusedDocument(version, "it names another service"));
            case DocumentParser.Verdict.Valid valid -> hold(valid.configuration(), text);
            case DocumentParser.Verdict.Invalid invalid ->
                refuse(service, new RefusedDocument(version, invalid.message()));
        };
    }

    long revision() {
        return revision;
    }

    boolean isNews(ServiceName service, long version) {
        return documents.follows(service) && documents.of(service).isNews(version);
    }

    /**
     * Stores a document that passed the checks.
     *
     * @param configuration its content
     * @param text its text
     * @return the counts and log lines
     */
    List<Effect> hold(ServiceConfiguration configuration, String text) {
        ServiceName service = configuration.service();
        if (!documents.follows(service) || !documents.of(service).hold(configuration, text)) {
            return List.of();
        }
        revision++;
        if (service.equals(documents.own())) {
            documents.followCalls();
        }
        return gate.isOpen() ? bringAllIntoForce() : List.of();
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
    List<Effect> bringAllIntoForce() {
        List<Effect> effects = new ArrayList<>();
        for (ServiceName service : documents.followed()) {
            effects.addAll(bringIntoForce(documents.of(service)));
        }
        return effects;
    }

    private List<Effect> bringIntoForce(FollowedDocument document) {
        if (document.newest().equals(document.inForce())) {
            return List.of();
        }
        if (document.version() <= document.inForceVersion()) {
            return List.of(new Effect.Count(Invariant.VERSION_NEVER_FALLS));
        }
        document.bringIntoForce();
        revision++;
        String line = "version " + document.version() + " of " + document.service() + " is in force";
        return List.of(new Effect.Count(ConfigurationCount.ADOPTED), log(line));
    }

    private Effect log(String line) {
        return new Effect.LogChange(Step.CONFIGURATION, self, line);
    }
}
