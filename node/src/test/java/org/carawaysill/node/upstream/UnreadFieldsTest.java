package org.carawaysill.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import org.carawaysill.node.entry.WireDialect;
import org.junit.jupiter.api.Test;

class UnreadFieldsTest {

    private final List<String> reported = new ArrayList<>();
    private final UnreadFields fields = new UnreadFields(WireDialect.OWN, reported::add);

    private static HttpHeaders headers(String... names) {
        HttpHeaders headers = new DefaultHttpHeaders();
        for (String name : names) {
            headers.add(name, "1");
        }
        return headers;
    }

    /* Guards against a new statement of copies that the node passes on and that nobody notices. */
    @Test
    void areReportedOnce() {
        fields.check(headers("Content-Length", "Copy-Mood", WireDialect.OWN.leaving(), "Keep-Alive"));
        fields.check(headers("Copy-Mood", "Copy-Age"));
        assertEquals(List.of("Copy-Mood", "Copy-Age"), reported);
    }

    @Test
    void areBoundedInNumberAndLength() {
        for (int i = 0; i < 1000; i++) {
            fields.check(headers("x".repeat(200) + i));
        }
        assertTrue(reported.size() <= UnreadFields.MOST);
        assertEquals(64, reported.getFirst().length());
    }
}
