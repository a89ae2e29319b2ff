package org.carawaysill.policy.fleet.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.carawaysill.model.fleet.Revision;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ChangeLogTest {

    private final ChangeLog changes = new ChangeLog();

    private static Revision at(long number) {
        return new Revision(0, number);
    }

    @Nested
    class Telling {

        @Test
        void leavesOutWhatTheOtherKnows() {
            changes.changed("a", at(5));
            changes.changed("b", at(9));
            assertEquals(List.of("b"), changes.since(1));
            assertEquals(List.of("b"), changes.since(at(5)));
            assertEquals(2, changes.position());
        }

        /* Guards against omitting a change because the platform assigned its revision before. */
        @Test
        void doesNotDependOnTheOrderOfRevisions() {
            changes.changed("a", at(9));
            changes.changed("b", at(5));
            assertEquals(List.of("b"), changes.since(1));
            changes.changed("a", at(5));
            assertEquals(List.of("a"), changes.since(2));
        }

        /*
         * A node was disconnected for longer than removals are remembered. If it received only the recent changes, it
         * would go on sending requests to copies that are gone: it must receive the full list.
         */
        @Test
        void saysWhenRemovalsAreForgotten() {
            changes.changed("a", at(5));
            changes.changed("b", at(9));
            assertTrue(changes.remembers(0));
            assertTrue(changes.remembers(at(3)));
            changes.discard("a");
            assertFalse(changes.remembers(0));
            assertTrue(changes.remembers(1));
            assertFalse(changes.remembers(at(3)));
            assertTrue(changes.remembers(at(5)));
            assertTrue(changes.remembers(at(0)), "a node without any state has nothing to remove");
        }
    }
}
