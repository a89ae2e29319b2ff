package org.carawaysill.node.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.carawaysill.model.request.CopyNotice;
import org.carawaysill.model.request.CopyNotice.Rate;
import org.carawaysill.node.entry.WireDialect;

/**
 * Reads what an answer states about the copy that gave it.
 *
 * <p>Stateless and thread safe.
 */
final class NoticeReader {

    /** A decimal number without sign or exponent; longer ones are no limit that a copy could need. */
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,18})?");

    private static final String IS_LEAVING = "1";

    private final WireDialect dialect;

    NoticeReader(WireDialect dialect) {
        this.dialect = dialect;
    }

    /** Returns what the answer states; empty if it is not shown to be the answer to the request, of the copy it was for. */
    Optional<CopyNotice> read(HttpResponse response, String requestName) {
        HttpHeaders headers = response.headers();
        boolean isOfAnotherCopy = response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
        if (isOfAnotherCopy || !requestName.equals(headers.get(dialect.requestName()))) {
            return Optional.empty();
        }
        boolean leaving = headers.contains(dialect.leaving()) && states(headers, IS_LEAVING);
        return Optional.of(
                leaving || headers.contains(dialect.rateLimit())
                        ? new CopyNotice(rate(headers.getAll(dialect.rateLimit())), leaving)
                        : CopyNotice.NONE);
    }

    private boolean states(HttpHeaders headers, String value) {
        return headers.getAll(dialect.leaving()).stream().map(String::strip).anyMatch(value::equals);
    }

    /** Returns the limit; a field that stands twice with different values names none that can be read. */
    private static Rate rate(List<String> values) {
        List<String> distinct = values.stream().map(String::strip).distinct().toList();
        if (distinct.isEmpty()) {
            return new Rate.Unlimited();
        }
        String value = distinct.getFirst();
        return distinct.size() == 1 && DECIMAL.matcher(value).matches()
                ? new Rate.Limited(Double.parseDouble(value))
                : new Rate.Unreadable();
    }
}
