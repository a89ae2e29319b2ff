package org.carawaysill.standin.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RunLogTest {

    private static final Optional<TraceIdentifier> TRACE = Optional.of(new TraceIdentifier(0xAB, 0xCD));
    private static final List<GraphOperation> OPERATIONS =
            List.of(operation("lookup", true), operation("entry", false));

    private final RunLog log = new RunLog(OPERATIONS, 2);

    @Test
    void listsDuplicatesOfOperationsThatAreNotIdempotentOnly() {
        for (int i = 0; i < 3; i++) {
            log.started(TRACE, 0);
        }
        log.started(TRACE, 1);
        assertTrue(log.toJson().getJsonArray("duplicates").isEmpty());

        log.started(TRACE, 1);
        assertEquals(
                "[{\"trace\":\"00000000000000ab00000000000000cd\",\"operation\":\"entry\",\"runs\":2}]",
                log.toJson().getJsonArray("duplicates").encode());
        assertEquals(3, log.toJson().getInteger("maxRunsPerTrace"));
    }

    @Test
    void tellsWhenItNoLongerRemembersEachRun() {
        log.started(TRACE, 0);
        log.started(TRACE, 1);
        assertFalse(log.toJson().getBoolean("overflowed"));

        log.started(Optional.of(new TraceIdentifier(1, 1)), 0);
        assertTrue(log.toJson().getBoolean("overflowed"));
        assertEquals(3, log.toJson().getInteger("started"));
    }

    @Test
    void countsRunsWithoutATraceApart() {
        log.started(Optional.empty(), 1);
        log.started(Optional.empty(), 1);

        assertEquals(2, log.toJson().getInteger("untraced"));
        assertTrue(log.toJson().getJsonArray("duplicates").isEmpty());
    }

    private static GraphOperation operation(String name, boolean idempotent) {
        return new GraphOperation(name, "GET", PathPattern.of("/" + name), idempotent, 1, 0, List.of());
    }
}
