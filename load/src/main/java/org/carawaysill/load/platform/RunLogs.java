package org.carawaysill.load.platform;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.carawaysill.load.audit.RunLog;
import org.carawaysill.load.site.Hop;
import org.carawaysill.load.site.Site;
import org.carawaysill.load.site.SiteCopy;
import org.carawaysill.load.site.SiteCopy.Port;

/**
 * Collects the run logs of the upstream stand-ins. Thread safe.
 */
public final class RunLogs {

    private static final String PATH = "/runs?full=true";

    private final BenchHttp http;
    private final Site site;

    /**
     * Creates the collector.
     *
     * @param http the caller of admin interfaces
     * @param site the site
     */
    public RunLogs(BenchHttp http, Site site) {
        this.http = http;
        this.site = site;
    }

    /**
     * Reads the logs of all copies.
     *
     * @return what they ran, or a {@link BenchException}
     */
    public Future<RunLog> collect() {
        RunLog log = new RunLog();
        List<Future<Void>> reads =
                site.copies().stream().map(copy -> read(copy, log)).toList();
        return Future.all(reads).map(log);
    }

    private Future<Void> read(SiteCopy copy, RunLog log) {
        return http.read(copy.number(Port.COPY), PATH)
                .onSuccess(document -> document.getJsonArray("runsByTrace").stream()
                        .map(JsonObject.class::cast)
                        .forEach(entry -> add(copy, entry, log)))
                .mapEmpty();
    }

    private static void add(SiteCopy copy, JsonObject entry, RunLog log) {
        Hop hop = new Hop(copy.service().name(), entry.getString("operation"));
        log.add(entry.getString("trace"), hop, entry.getInteger("runs"));
    }
}
