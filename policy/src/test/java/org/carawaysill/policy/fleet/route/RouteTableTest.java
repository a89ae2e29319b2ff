package org.carawaysill.policy.fleet.route;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.fleet.Destination;
import org.carawaysill.model.fleet.RequestKind;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RouteTableTest {

    private static Route route(String host, String prefix, Destination... destinations) {
        return new Route(
                host + prefix,
                host,
                prefix,
                List.of(destinations),
                RequestKind.READ,
                Duration.ofSeconds(1),
                2,
                Duration.ofMillis(100),
                0,
                true);
    }

    private static Destination to(String service, int weight) {
        return new Destination(new ServiceName(service), weight);
    }

    @Nested
    class Lookup {

        private final RouteTable table = new RouteTable(List.of(
                route("bills.example", "/", to("a", 1)),
                route("bills.example", "/bills/", to("b", 1)),
                route("bills.example", "/bills/open/", to("c", 1)),
                route("other.example", "/only/", to("d", 1))));

        private Optional<String> found(String host, String path) {
            return table.find(host, path).map(Route::prefix);
        }

        @Test
        void takesTheLongestPrefix() {
            assertEquals(Optional.of("/bills/open/"), found("bills.example", "/bills/open/7"));
            assertEquals(Optional.of("/bills/"), found("bills.example", "/bills/opened"));
            assertEquals(Optional.of("/"), found("bills.example", "/billsopen/7"));
            assertEquals(Optional.of("/bills/"), found("bills.example", "/bills/"));
        }

        @Test
        void ignoresPortCaseAndQuery() {
            assertEquals(Optional.of("/bills/"), found("Bills.Example:8080", "/bills/7?next=/bills/open/x"));
        }

        @Test
        void findsNothingForAnotherHostOrPath() {
            assertEquals(Optional.empty(), found("other.example", "/bills/7"));
            assertEquals(Optional.empty(), found("unknown.example", "/only/7"));
            assertEquals(Optional.empty(), found("other.example", "/only"));
        }
    }

    @Nested
    class Split {

        @Test
        void staysWithinOneRequestOfTheWeightsAtAnyTime() {
            Route route = route("bills.example", "/", to("a", 90), to("b", 7), to("c", 3));
            SplitShares shares = new SplitShares();
            Map<String, Integer> received = new HashMap<>();
            for (int i = 1; i <= 1000; i++) {
                received.merge(shares.next(route).value(), 1, Integer::sum);
                assertEquals(i * 0.9, received.getOrDefault("a", 0), 1.0);
                assertEquals(i * 0.07, received.getOrDefault("b", 0), 1.0);
            }
        }

        @Test
        void startsAgainWhenTheWeightsChange() {
            SplitShares shares = new SplitShares();
            shares.next(route("bills.example", "/", to("a", 1), to("b", 1)));
            Route changed = route("bills.example", "/", to("a", 0), to("b", 1));
            for (int i = 0; i < 10; i++) {
                assertEquals("b", shares.next(changed).value());
            }
        }
    }
}
