package org.carawaysill.standin.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class AnswerBodyTest {

    @Property(seed = "1", tries = 300)
    void statesItsTrueLength(
            @ForAll @AlphaChars @StringLength(max = 60) String chain, @ForAll @IntRange(max = 1100) int minimumLength) {
        AnswerBody body = new AnswerBody("00ff", "lookup", chain);
        Buffer bytes = body.encode(minimumLength);

        assertEquals(bytes.length(), bytes.toJsonObject().getInteger("length"));
        assertEquals(Math.max(minimumLength, bytes.length()), bytes.length());
        assertEquals(Optional.of(body), AnswerBody.decode(bytes));
    }

    /**
     * Guards against a truncated answer that is taken for a complete one. Where only padding is cut off, the rest still
     * parses, so that only the length in the answer reveals the truncation.
     */
    @Test
    void isNotReadWhenItWasCut() {
        String whole = new AnswerBody("00ff", "lookup", "manifests").encode(200).toString();

        assertEquals(Optional.empty(), AnswerBody.decode(Buffer.buffer(whole.substring(0, 150))));
        assertEquals(Optional.empty(), AnswerBody.decode(Buffer.buffer(whole.replace("--", "-"))));
    }
}
