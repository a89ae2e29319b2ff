package org.carawaysill.model.configuration;

/**
 * An operation with its path compiled.
 *
 * <p>Immutable and thread safe.
 *
 * @param operation the operation
 * @param path its path
 * @param index its position in published order, from 0
 */
record CompiledOperation(Operation operation, PathPattern path, int index) {

    static final String ANY_METHOD = "*";

    boolean matches(String method, String requestPath) {
        return matchesMethod(method) && path.matches(requestPath);
    }

    /** Returns whether this operation matches every request that another one matches. */
    boolean covers(CompiledOperation other) {
        return matchesMethod(other.operation.method()) && path.covers(other.path);
    }

    private boolean matchesMethod(String method) {
        return operation.method().equals(ANY_METHOD) || operation.method().equals(method);
    }
}
