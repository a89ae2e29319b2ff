package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.fleet.Organisations;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.model.request.Credential;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.policy.fleet.VirtualFleet.Run;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IdentificationTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;
    private static final String ENTRY = "/entry/";
    private static final String DEEP = "/deep/";
    private static final Credential UNREADABLE =
            new Credential(List.of(new Header("Authorization", "nonsense")), Optional.empty());

    private final VirtualFleet fleet = new VirtualFleet(5);
    private final VirtualNode entry = fleet.add("front", "10.0.0.1", "zone-0", 10);
    private final VirtualNode back = fleet.add("back", "10.0.0.2", "zone-0", 10);
    private final Map<String, Outcome> outcomes = new HashMap<>();

    private static Credential key(String key) {
        return TestKeys.key(key);
    }

    private static Organisation organisation(String name, int rank, String... keys) {
        return TestKeys.organisation(name, rank, Optional.empty(), keys);
    }

    private void configure(Organisation... organisations) {
        fleet.organisations = Optional.of(new Organisations(List.of(organisations)));
        fleet.configure(routes());
    }

    private static Route[] routes() {
        return new Route[] {
            Routes.route(ENTRY, "front", true, 1, 900, 500),
            Routes.withoutKey(Routes.route(DEEP, "back", true, 1, 900, 500))
        };
    }

    private void send(String name, String path, Credential credential) {
        fleet.send(entry, name, path, credential, SECOND, (_, outcome) -> outcomes.put(name, outcome));
    }

    /** Sends a request and waits for its outcome. */
    private Outcome outcome(String name, String path, Credential credential) {
        send(name, path, credential);
        fleet.runUntil(fleet.now + SECOND);
        return outcomes.get(name);
    }

    private RefusalReason refusal(String name, String path, Credential credential) {
        Outcome outcome = outcome(name, path, credential);
        return outcome instanceof Outcome.NotRun notRun ? notRun.reason() : null;
    }

    private List<Run> runs(String prefix) {
        return fleet.runs.stream()
                .filter(run -> run.requestName().startsWith(prefix))
                .toList();
    }

    @BeforeEach
    void settle() {
        entry.works.put(ENTRY, new Work(10 * MILLI, List.of(DEEP)));
        back.works.put(DEEP, new Work(10 * MILLI, List.of()));
        configure(organisation("agents", 1, "k-1"), organisation("carriers", 0, "k-2"));
        fleet.runUntil(3 * SECOND);
    }

    @Nested
    class Keys {

        @Test
        void showTheOrganisationToTheCopyAndNotToTheCallsThatItMakes() {
            assertTrue(Outcomes.isGood(outcome("a", ENTRY, key("k-1"))));
            assertEquals(
                    List.of(Optional.of(new OrganisationName("agents")), Optional.empty()),
                    runs("a").stream().map(Run::organisation).toList());
        }

        @Test
        void areRequiredUnlessTheRouteIsOpen() {
            assertEquals(RefusalReason.KEY_MISSING, refusal("a", ENTRY, Credential.NONE));
            assertTrue(Outcomes.isGood(outcome("b", DEEP, Credential.NONE)));
        }

        @Test
        void thatNobodyHoldsAreRefusedOnEachRoute() {
            assertEquals(RefusalReason.KEY_UNKNOWN, refusal("a", ENTRY, key("k-9")));
            assertEquals(RefusalReason.KEY_UNKNOWN, refusal("b", DEEP, key("k-9")));
            assertEquals(RefusalReason.KEY_UNKNOWN, refusal("c", ENTRY, UNREADABLE));
            assertEquals(List.of(), fleet.runs);
        }

        /** Guards against a client that avoids the key by naming its request like a call of a copy. */
        @Test
        void areRequiredOfRequestsThatAreNamedAsCalls() {
            entry.works.put(ENTRY, new Work(300 * MILLI, List.of()));
            send("a", ENTRY, key("k-1"));
            fleet.runUntil(fleet.now + 100 * MILLI);
            assertEquals(RefusalReason.KEY_MISSING, refusal("a.0123456789abcdef", ENTRY, Credential.NONE));
        }

        @Test
        void areNotCheckedWhereNoOrganisationsAreConfigured() {
            fleet.organisations = Optional.empty();
            fleet.configure(routes());
            fleet.runUntil(fleet.now + 3 * SECOND);
            assertTrue(Outcomes.isGood(outcome("a", ENTRY, Credential.NONE)));
            assertTrue(Outcomes.isGood(outcome("b", ENTRY, key("k-9"))));
        }
    }

    @Nested
    class Changes {

        @Test
        void takeAKeyAway() {
            configure(organisation("agents", 1, "k-3"), organisation("carriers", 0, "k-2"));
            fleet.runUntil(fleet.now + 2 * SECOND);
            assertEquals(RefusalReason.KEY_UNKNOWN, refusal("a", ENTRY, key("k-1")));
            assertTrue(Outcomes.isGood(outcome("b", ENTRY, key("k-3"))));
        }

        /** Guards against a node that keeps accepting a removed key because the platform refuses its reads. */
        @Test
        void reachANodeThatThePlatformRefuses() {
            entry.readable = false;
            fleet.runUntil(fleet.now + 2 * SECOND);
            configure(organisation("agents", 1, "k-3"));
            fleet.runUntil(fleet.now + 2 * SECOND);
            assertEquals(RefusalReason.KEY_UNKNOWN, refusal("a", ENTRY, key("k-1")));
        }

        @Test
        void renameAnOrganisation() {
            configure(organisation("brokers", 1, "k-1"));
            fleet.runUntil(fleet.now + 2 * SECOND);
            outcome("a", ENTRY, key("k-1"));
            assertEquals(
                    Optional.of(new OrganisationName("brokers")),
                    runs("a").getFirst().organisation());
        }

        @Test
        void moveAKeyToAnotherOrganisation() {
            configure(organisation("agents", 1), organisation("carriers", 0, "k-2", "k-1"));
            fleet.runUntil(fleet.now + 2 * SECOND);
            outcome("a", ENTRY, key("k-1"));
            assertEquals(
                    Optional.of(new OrganisationName("carriers")),
                    runs("a").getFirst().organisation());
        }

        /**
         * Guards against a final refusal by a node that has long received nothing: the key may have been added since.
         */
        @Test
        void thatCanNotBeReceivedLeaveARefusalTemporary() {
            entry.readable = false;
            back.readable = false;
            fleet.silence(entry, back);
            fleet.runUntil(fleet.now + 500 * MILLI);
            back.losePower();
            fleet.runUntil(fleet.now + 4 * SECOND);
            assertEquals(RefusalReason.KEY_UNVERIFIED, refusal("a", ENTRY, key("k-9")));
            assertEquals(RefusalReason.KEY_MISSING, refusal("b", ENTRY, Credential.NONE));
            assertEquals(RefusalReason.KEY_UNKNOWN, refusal("c", ENTRY, UNREADABLE));
        }
    }

    @Nested
    class Ranks {

        /** The organisation's rank takes precedence over the route's, also for the calls that a copy makes. */
        @Test
        void ofOrganisationsGoBeforeThoseOfRoutes() {
            back.works.put(DEEP, new Work(50 * MILLI, List.of()));
            for (int i = 0; i < 200; i++) {
                String name = (i % 2 == 0 ? "agents-" : "carriers-") + i;
                Credential credential = key(i % 2 == 0 ? "k-1" : "k-2");
                fleet.at(fleet.now + i * 2 * MILLI, () -> send(name, ENTRY, credential));
            }
            fleet.runUntil(fleet.now + 3 * SECOND);
            assertTrue(good("carriers-") > good("agents-"), () -> good("carriers-") + " and " + good("agents-"));
        }

        private long good(String prefix) {
            return outcomes.entrySet().stream()
                    .filter(each -> each.getKey().startsWith(prefix) && Outcomes.isGood(each.getValue()))
                    .count();
        }
    }
}
