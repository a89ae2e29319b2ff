package org.carawaysill.model.configuration;

import java.util.HashMap;
import java.util.Map;

/**
 * Creates the labels that selectors match, with keys {@code service.KEY}, {@code request.KEY} and {@code caller.KEY}.
 *
 * <p>In addition to the operators' labels, there are three that are derived from names: {@code service.name}, {@code
 * request.operation} and {@code caller.name}. Stateless and thread safe.
 */
final class RequestLabels {

    static final String SERVICE = "service.";
    static final String REQUEST = "request.";
    static final String CALLER = "caller.";
    static final String NAME = "name";
    static final String OPERATION = "operation";

    private RequestLabels() {}

    static Map<String, String> ofService(String service, Labels labels) {
        return scoped(SERVICE, labels, NAME, service);
    }

    static Map<String, String> ofOperation(Operation operation) {
        return scoped(REQUEST, operation.labels(), OPERATION, operation.name());
    }

    static Map<String, String> ofCaller(CallerEntry caller) {
        return scoped(CALLER, caller.labels(), NAME, caller.caller().value());
    }

    private static Map<String, String> scoped(String scope, Labels labels, String nameKey, String name) {
        Map<String, String> scoped = new HashMap<>();
        labels.values().forEach((key, value) -> scoped.put(scope + key, value));
        scoped.put(scope + nameKey, name);
        return scoped;
    }
}
