package org.carawaysill.node.upstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import org.carawaysill.node.entry.WireDialect;

/**
 * Classifies an answer of the local copy by its head, before the body is read.
 *
 * <p>Stateless and thread safe.
 */
final class AnswerClassifier {

    private static final String IDENTITY = "identity";

    /** The classification of an answer. */
    enum Verdict {
        /** The copy's answer to this request. */
        OWN,
        /** An answer to another request, which is late or a duplicate. */
        FOREIGN,
        /** The copy states that it did not run the request. */
        NOT_RUN,
        /** Not a valid answer of a copy. */
        INVALID
    }

    private final WireDialect dialect;

    AnswerClassifier(WireDialect dialect) {
        this.dialect = dialect;
    }

    Verdict classify(HttpResponse response, String requestName) {
        String echoed = response.headers().get(dialect.requestName());
        if (echoed != null && !echoed.equals(requestName)) {
            return Verdict.FOREIGN;
        }
        if (statesNotRun(response)) {
            return Verdict.NOT_RUN;
        }
        boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (echoed == null || success && !response.headers().contains(dialect.seal())) {
            return Verdict.INVALID;
        }
        // Requests ask the copy for bodies without content coding, so an answer that has one doesn't come from the
        // copy.
        String encoding = response.headers().get(HttpHeaderNames.CONTENT_ENCODING, IDENTITY);
        return encoding.equalsIgnoreCase(IDENTITY) ? Verdict.OWN : Verdict.INVALID;
    }

    private boolean statesNotRun(HttpResponse response) {
        return response.headers().contains(dialect.notRun())
                || response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    }
}
