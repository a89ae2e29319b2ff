package org.carawaysill.load.fleet;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.carawaysill.load.platform.BenchException;
import org.carawaysill.load.platform.BenchHttp;
import org.carawaysill.load.site.Site;
import org.carawaysill.load.site.SiteCopy;
import org.carawaysill.load.site.SiteCopy.Port;
import org.carawaysill.model.identity.ServiceName;

/** Blocking client for the processes of a fleet. Not thread safe: used by the main thread only. */
final class FleetClient {

    private static final long NOT_IN_FORCE = 0;

    private final FleetPlan plan;
    private final BenchHttp http;

    FleetClient(FleetPlan plan, BenchHttp http) {
        this.plan = plan;
        this.http = http;
    }

    /**
     * Publishes a service's document.
     *
     * @param service the service
     * @param revision a number by which the text differs from the previous one
     * @return its version
     * @throws BenchException if the stand-in does not accept it
     */
    long publish(FleetService service, int revision) throws BenchException {
        String path = "/configuration/" + service.name();
        return await(http.publish(Site.CONFIGURATION_PORT, path, service.document(revision)), path)
                .getLong("version");
    }

    FleetReading read() throws BenchException {
        JsonObject counts = counts();
        List<Future<NodeReading>> readings = plan.copies().stream()
                .map(copy -> http.text(copy.number(Port.ADMIN), "/metrics").map(NodeReading::parse))
                .toList();
        await(Future.all(readings), "/metrics");
        List<NodeReading> nodes = readings.stream().map(Future::result).toList();
        return new FleetReading(System.nanoTime(), nodes, counts.getLong("reads"), counts.getLong("watches"));
    }

    JsonObject counts() throws BenchException {
        return await(http.read(Site.CONFIGURATION_PORT, "/counts"), "/counts");
    }

    /**
     * Returns the copies on whose nodes a version is not in force; a node that does not answer counts as such.
     *
     * @param copies the copies whose nodes are queried
     * @param service the document's service
     * @param version the version, or 1 for any
     * @return the copies whose nodes are behind
     * @throws BenchException if waiting for the answers fails
     */
    List<SiteCopy> behind(List<SiteCopy> copies, ServiceName service, long version) throws BenchException {
        List<Future<Long>> versions =
                copies.stream().map(copy -> version(copy, service)).toList();
        await(Future.all(versions), "/status");
        return copies.stream()
                .filter(copy -> versions.get(copies.indexOf(copy)).result() < version)
                .toList();
    }

    private Future<Long> version(SiteCopy copy, ServiceName service) {
        return http.read(copy.number(Port.ADMIN), "/status")
                .map(status -> status.getJsonObject("versions").getLong(service.value(), NOT_IN_FORCE))
                .otherwise(NOT_IN_FORCE);
    }

    private static <T> T await(Future<T> future, String path) throws BenchException {
        try {
            return future.toCompletionStage().toCompletableFuture().get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof BenchException failure) {
                throw failure;
            }
            throw new BenchException(Site.CONFIGURATION_PORT, path, String.valueOf(e.getCause()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
