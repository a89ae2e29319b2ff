package org.carawaysill.node.upstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.carawaysill.node.entry.WireDialect;

/**
 * Reports header fields of answers that the node passes on without reading them, each name once.
 *
 * <p>Guards against a statement of copies that no part of the node takes in, and whose absence from the logs nobody
 * notices. Invariant: at most {@link #MOST} names are remembered. Not thread safe: confined to the event loop.
 */
final class UnreadFields {

    /** Bounds the memory and the log where a copy makes up names. */
    static final int MOST = 32;

    /** Bounds a reported name. */
    private static final int MOST_CHARACTERS = 64;

    private static final Set<String> OF_THE_MESSAGE = Stream.of(
                    HttpHeaderNames.CONNECTION,
                    HttpHeaderNames.CONTENT_ENCODING,
                    HttpHeaderNames.CONTENT_LENGTH,
                    HttpHeaderNames.CONTENT_TYPE,
                    HttpHeaderNames.DATE,
                    HttpHeaderNames.SERVER,
                    HttpHeaderNames.TRANSFER_ENCODING)
            .map(CharSequence::toString)
            .collect(Collectors.toUnmodifiableSet());

    private static final String KEEP_ALIVE = "keep-alive";

    private final Consumer<String> reporter;
    private final Set<String> read = new HashSet<>(OF_THE_MESSAGE);
    private final Set<String> seen = new HashSet<>();

    UnreadFields(WireDialect dialect, Consumer<String> reporter) {
        this.reporter = reporter;
        read.add(KEEP_ALIVE);
        Stream.of(dialect.requestName(), dialect.seal(), dialect.notRun(), dialect.rateLimit(), dialect.leaving())
                .map(name -> name.toLowerCase(Locale.ROOT))
                .forEach(read::add);
    }

    void check(HttpHeaders headers) {
        for (Map.Entry<String, String> field : headers) {
            String name = field.getKey();
            if (seen.size() < MOST && seen.add(name) && !read.contains(name.toLowerCase(Locale.ROOT))) {
                reporter.accept(name.substring(0, Math.min(name.length(), MOST_CHARACTERS)));
            }
        }
    }
}
