package org.carawaysill.policy.fleet.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ChangeLogTest {

    private final ChangeLog changes = new ChangeLog();

    @Nested
    class Telling {

        @Test
        void leavesOutWhatTheOtherKnows() {
            changes.changed("a", 5);
            changes.changed("b", 9);
            assertEquals(List.of("b"), changes.since(5));
            assertEquals(9, changes.revision());
        }

        @Test
        void startsFromWhatWasTold() {
            changes.caughtUp(20);
            changes.changed("a", 5);
            assertEquals(20, changes.revision());
            assertEquals(List.of(), changes.since(20));
        }

        /*
         * A node was cut off for longer than removals are remembered. Told only what changed since, it would go on sending
         * requests to copies that are long gone: it must be told what is left.
         */
        @Test
        void saysWhenRemovalsAreForgotten() {
            changes.changed("a", 5);
            changes.changed("b", 9);
            assertTrue(changes.remembers(3));
            changes.forget("a");
            assertFalse(changes.remembers(3));
            assertTrue(changes.remembers(5));
            assertTrue(changes.remembers(0), "who knows nothing has nothing to remove");
        }
    }
}
