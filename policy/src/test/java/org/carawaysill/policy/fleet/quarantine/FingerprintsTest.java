package org.carawaysill.policy.fleet.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.RequestContent;
import org.junit.jupiter.api.Test;

class FingerprintsTest {

    private final Fingerprints fingerprints = new Fingerprints();

    private Fingerprint of(String service, String caller, String path, String body) {
        List<Header> headers =
                List.of(new Header("Authorization", caller), new Header("Trace", "another one " + System.nanoTime()));
        return fingerprints.of(
                new ServiceName(service),
                Optional.empty(),
                new RequestContent("POST", path, headers, Body.ofText(body)));
    }

    @Test
    void areTheSameForTriesOfOneRequest() {
        assertEquals(of("bills", "key", "/a/1?x", "body"), of("bills", "key", "/a/1?x", "body"));
    }

    @Test
    void differWhereServiceCallerPathOrBodyDo() {
        Fingerprint one = of("bills", "key", "/a/1?x", "body");
        assertNotEquals(one, of("parties", "key", "/a/1?x", "body"));
        assertNotEquals(one, of("bills", "other", "/a/1?x", "body"));
        assertNotEquals(one, of("bills", "key", "/a/1?y", "body"));
        assertNotEquals(one, of("bills", "key", "/a/1?x", "other"));
    }

    /** A caller must not obtain another request's fingerprint by moving bytes from one part to the next. */
    @Test
    void differWhereTheSameBytesArePartedOtherwise() {
        assertNotEquals(of("bills", "key", "/a/b", ""), of("bills", "key/a", "/b", ""));
        assertNotEquals(of("bills", "key", "/a", "b"), of("bills", "key", "/ab", ""));
    }
}
