package org.carawaysill.standin.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * Writes a run log in pieces, so that it is neither held in memory as a whole nor blocks the event loop.
 *
 * <p>Invariant: writes each entry that existed at the start exactly once. Not thread safe: used on the event loop only.
 */
final class RunLogWriter {

    private static final int ENTRIES_PER_PIECE = 512;

    private final RunLog log;
    private final RunTable runs;
    private final int size;
    private final JsonObject summary;
    private final HttpServerResponse response;

    RunLogWriter(RunLog log, HttpServerResponse response) {
        this.log = log;
        this.runs = log.runs();
        this.size = runs.size();
        this.summary = log.toJson();
        this.response = response;
    }

    /** Writes the summary with an additional key, {@code runsByTrace}: a list of trace, operation and runs. */
    void write() {
        String head = summary.encode();
        response.putHeader("Content-Type", "application/json").setChunked(true);
        response.write(head.substring(0, head.length() - 1) + ",\"runsByTrace\":[");
        writeFrom(0);
    }

    private void writeFrom(int first) {
        int end = Math.min(size, first + ENTRIES_PER_PIECE);
        Buffer piece = Buffer.buffer();
        for (int i = first; i < end; i++) {
            piece.appendString(i == 0 ? "" : ",")
                    .appendBuffer(log.entry(runs, i).toBuffer());
        }
        if (end == size) {
            response.end(piece.appendString("]}"));
        } else {
            response.write(piece).onSuccess(written -> writeFrom(end));
        }
    }
}
