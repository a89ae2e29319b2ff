package org.carawaysill.node.upstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import org.carawaysill.node.entry.WireDialect;

/**
 * Returns what an answer of the local copy is worth, before its body is read.
 *
 * <p>Stateless and thread safe.
 */
final class AnswerCheck {

    private static final String IDENTITY = "identity";

    /** What an answer is. */
    enum Verdict {
        /** The copy's answer to this request. */
        OWN,
        /** An answer to another request: a late or a second one. */
        FOREIGN,
        /** The copy says that it did not run the request. */
        NOT_RUN,
        /** Not what a sound copy sends. */
        SPOILT
    }

    private final WireDialect dialect;

    AnswerCheck(WireDialect dialect) {
        this.dialect = dialect;
    }

    Verdict judge(HttpResponse response, String requestName) {
        String echoed = response.headers().get(dialect.requestName());
        if (echoed != null && !echoed.equals(requestName)) {
            return Verdict.FOREIGN;
        }
        if (statesNotRun(response)) {
            return Verdict.NOT_RUN;
        }
        boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (echoed == null || success && !response.headers().contains(dialect.seal())) {
            return Verdict.SPOILT;
        }
        // A copy is asked for bodies without any encoding: one that has it is not the copy's.
        String encoding = response.headers().get(HttpHeaderNames.CONTENT_ENCODING, IDENTITY);
        return encoding.equalsIgnoreCase(IDENTITY) ? Verdict.OWN : Verdict.SPOILT;
    }

    private boolean statesNotRun(HttpResponse response) {
        return response.headers().contains(dialect.notRun())
                || response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    }
}
