package org.carawaysill.node.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.carawaysill.model.request.Credential;

class CredentialsTest {

    private static HttpHeaders headers(List<String> values) {
        HttpHeaders headers =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        values.forEach(value -> headers.add("Authorization", value));
        return headers;
    }

    /** Whatever clients send, at most one key is read, and no key appears in the result of toString. */
    @Property(tries = 2000, seed = "20261203")
    void readsAtMostOneKeyOfAnyFields(@ForAll("values") List<String> values) {
        Credential credential = Credentials.of(headers(values), "Token");
        assertEquals(!values.isEmpty(), credential.isPresented());
        if (values.size() != 1) {
            assertFalse(credential.key().isPresent());
        }
        assertEquals(credential.key().isPresent(), credential.toString().contains("readable=true"));
    }

    @Provide
    Arbitrary<List<String>> values() {
        Arbitrary<String> texts = Arbitraries.strings().ascii().ofMaxLength(40);
        Arbitrary<String> keys = texts.map(text -> "Token " + text);
        return Arbitraries.oneOf(texts, keys).list().ofMaxSize(3);
    }
}
