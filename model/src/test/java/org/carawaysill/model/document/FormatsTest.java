package org.carawaysill.model.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.carawaysill.model.identity.NetworkAddress;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies that valid addresses and durations are parsed exactly and all others are refused. */
class FormatsTest {

    private static final DurationFormat ANY = new DurationFormat(Duration.ZERO, Duration.ofDays(365));

    @Property(seed = "1", tries = 500)
    void durationsAreReadAsTheyAreWritten(@ForAll @LongRange(max = 999_999_999) long milliseconds) {
        Duration duration = Duration.ofMillis(milliseconds);

        assertEquals(duration, ANY.parse(DurationFormat.write(duration)));
    }

    @Nested
    class Durations {

        @ParameterizedTest
        @ValueSource(strings = {"", "2", "s", "-1s", "1.5s", "2 s", "2S", "1d", "9999999999s"})
        void withoutNumberOrUnitAreRefused(String text) {
            assertThrows(IllegalArgumentException.class, () -> ANY.parse(text));
        }

        @Test
        void outOfRangeAreRefused() {
            DurationFormat format = new DurationFormat(Duration.ofMillis(100), Duration.ofMinutes(1));

            assertEquals(Duration.ofMinutes(1), format.parse("60s"));
            assertThrows(IllegalArgumentException.class, () -> format.parse("99ms"));
            assertThrows(IllegalArgumentException.class, () -> format.parse("61s"));
        }
    }

    @Nested
    class Addresses {

        private final AddressFormat connect = new AddressFormat(AddressFormat.Use.CONNECT);
        private final AddressFormat listen = new AddressFormat(AddressFormat.Use.LISTEN);

        @Test
        void areIpNumbersWithPorts() {
            assertEquals(new NetworkAddress("127.0.0.1", 80), connect.parse("127.0.0.1:80"));
            assertEquals("[::1]:80", connect.parse("[::1]:80").toString());
            assertEquals(new NetworkAddress("0.0.0.0", 0), listen.parse("0.0.0.0:0"));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    ":",
                    "localhost:80",
                    "127.0.0.1",
                    "127.1:80",
                    "256.0.0.1:80",
                    "::1:80",
                    "[::g]:80",
                    "127.0.0.1:0",
                    "127.0.0.1:65536",
                    "127.0.0.1:-1",
                    "127.0.0.1:http",
                    "0.0.0.0:80",
                    "[::]:80"
                })
        void elseAreRefused(String text) {
            assertThrows(IllegalArgumentException.class, () -> connect.parse(text));
        }
    }
}
