package org.carawaysill.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.request.CopyNotice;
import org.carawaysill.model.request.CopyNotice.Rate;
import org.carawaysill.node.entry.WireDialect;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class NoticeReaderTest {

    private static final WireDialect DIALECT = WireDialect.OWN;
    private static final String NAME = "request-1";
    private static final DefaultHttpHeadersFactory UNCHECKED =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private final NoticeReader reader = new NoticeReader(DIALECT);

    private static HttpResponse answer(String name) {
        HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, UNCHECKED);
        answer.headers().set(DIALECT.requestName(), name);
        return answer;
    }

    private Rate rate(String... values) {
        HttpResponse answer = answer(NAME);
        answer.headers().set(DIALECT.rateLimit(), List.of(values));
        return reader.read(answer, NAME).orElseThrow().rate();
    }

    private boolean isLeaving(String... values) {
        HttpResponse answer = answer(NAME);
        answer.headers().set(DIALECT.leaving(), List.of(values));
        return reader.read(answer, NAME).orElseThrow().leaving();
    }

    @Nested
    class TheLimit {

        @ParameterizedTest
        @CsvSource({"45.4, 45.4", "26, 26", "0.4, 0.4", "0, 0", "' 12.50 ', 12.5", "007, 7"})
        void isADecimalNumber(String value, double requestsPerSecond) {
            assertEquals(new Rate.Limited(requestsPerSecond), rate(value));
        }

        /* Guards against a value that can't be read and counts as some limit, or as none. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    " ",
                    "many",
                    "-3",
                    "+3",
                    "NaN",
                    "Infinity",
                    "1e999",
                    "1e3",
                    "0x10",
                    "3,5",
                    "3 5",
                    ".5",
                    "5.",
                    "5.0.0",
                    "1234567890",
                    "٣"
                })
        void ofAnotherFormIsUnreadable(String value) {
            assertEquals(new Rate.Unreadable(), rate(value));
        }

        @Test
        void ofHundredsOfDigitsIsUnreadable() {
            assertEquals(new Rate.Unreadable(), rate("1".repeat(400)));
            assertEquals(new Rate.Unreadable(), rate("1." + "3".repeat(400)));
        }

        @Test
        void thatStandsTwiceIsUnreadableOnlyIfTheValuesDiffer() {
            assertEquals(new Rate.Limited(5), rate("5", "5"));
            assertEquals(new Rate.Unreadable(), rate("5", "6"));
        }

        @Test
        void isAbsentFromAnAnswerWithoutTheField() {
            assertEquals(Optional.of(CopyNotice.NONE), reader.read(answer(NAME), NAME));
        }
    }

    @Nested
    class ALeavingCopy {

        @Test
        void saysSoByOne() {
            assertEquals(true, isLeaving("1"));
            assertEquals(true, isLeaving("0", " 1 "));
        }

        @ParameterizedTest
        @ValueSource(strings = {"0", "true", "", "yes", "11", "-1"})
        void doesNotSaySoByAnyOtherValue(String value) {
            assertEquals(false, isLeaving(value));
        }
    }

    /* Guards against taking the statement of the process that now has the copy's address. */
    @Test
    void anAnswerThatRefusesARequestForAnotherCopyStatesNothing() {
        HttpResponse other = answer(NAME);
        other.setStatus(HttpResponseStatus.MISDIRECTED_REQUEST);
        other.headers().set(DIALECT.rateLimit(), "5");
        assertEquals(Optional.empty(), reader.read(other, NAME));
    }

    /* Guards against taking the statement of another process, whose late answer arrives on this connection. */
    @Test
    void anAnswerToAnotherRequestStatesNothing() {
        HttpResponse other = answer("request-2");
        other.headers().set(DIALECT.rateLimit(), "5");
        assertEquals(Optional.empty(), reader.read(other, NAME));
        other.headers().remove(DIALECT.requestName());
        assertEquals(Optional.empty(), reader.read(other, NAME));
    }
}
