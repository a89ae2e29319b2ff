package org.carawaysill.policy.fleet.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.policy.fleet.publication.Eras.Change;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ErasTest {

    private final Eras eras = new Eras();

    private Change receive(long era) {
        return eras.receive(OptionalLong.of(era));
    }

    @Nested
    class Answers {

        @Test
        void ofTheSameEraChangeNothing() {
            assertEquals(Change.NONE, receive(4));
            assertEquals(Change.NONE, receive(4));
            assertEquals(4, eras.current());
        }

        @Test
        void showAReturnFromAnOlderCopy() {
            receive(4);
            assertEquals(Change.BEGAN, receive(5));
            assertEquals(5, eras.current());
        }

        @Test
        void ofAnEarlierEraAreTold() {
            receive(4);
            assertEquals(Change.FELL, receive(3));
            assertEquals(Change.NONE, receive(3));
        }
    }

    @Nested
    class AnswersWithoutAnEra {

        @Test
        void areToldOnceAndBelongToNoKnownEra() {
            receive(4);
            assertEquals(Change.BECAME_UNREADABLE, eras.receive(OptionalLong.empty()));
            assertEquals(Change.STAYS_UNREADABLE, eras.receive(OptionalLong.empty()));
            assertEquals(Revision.UNKNOWN_ERA, eras.current());
            assertTrue(eras.isUnreadable());
            assertEquals(Change.BEGAN, receive(5));
            assertFalse(eras.isUnreadable());
        }

        /*
         * Guards against a node whose first answer has no era, and which takes all answers without an era as belonging
         * to one era.
         */
        @Test
        void areALossWhereOthersWereToldOne() {
            eras.receiveFromNode(4);
            eras.receive(OptionalLong.empty());
            assertTrue(eras.isUnreadable());
            assertEquals(Revision.UNKNOWN_ERA, eras.current());
        }

        @Test
        void areNoLossWhereThePlatformNeverToldOne() {
            assertEquals(Change.BECAME_UNREADABLE, eras.receive(OptionalLong.empty()));
            assertFalse(eras.isUnreadable());
            assertEquals(Eras.NOT_REPORTED, eras.current());
        }
    }
}
