package org.carawaysill.load.platform;

import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.stream.Stream;
import org.carawaysill.load.scenario.Trigger;
import org.carawaysill.load.scenario.Trigger.CopyDown;
import org.carawaysill.load.scenario.Trigger.SlowService;
import org.carawaysill.load.scenario.Trigger.Surge;
import org.carawaysill.load.scenario.Trigger.ZonesCut;
import org.carawaysill.load.site.Site;
import org.carawaysill.load.site.SiteCopy;
import org.carawaysill.load.site.SiteCopy.Port;
import org.carawaysill.model.identity.AvailabilityZone;

/**
 * Injects the faults of triggers through the fault endpoints of stand-ins and nodes. Thread safe.
 */
public final class Faults {

    private final BenchHttp http;
    private final Site site;

    /**
     * Creates the fault injection for a site.
     *
     * @param http the client for admin interfaces
     * @param site the site
     */
    public Faults(BenchHttp http, Site site) {
        this.http = http;
        this.site = site;
    }

    /**
     * Starts the given triggers; no other trigger stays active at the copies.
     *
     * @param triggers the triggers to start
     * @return nothing, or a {@link BenchException}
     */
    public Future<Void> start(List<Trigger> triggers) {
        Stream<Future<Void>> copies = site.copies().stream().map(copy -> behave(copy, triggers));
        Stream<Future<Void>> nodes = triggers.contains(new ZonesCut())
                ? site.copies().stream().map(copy -> block(copy, cutOffFrom(copy)))
                : Stream.of();
        return Future.all(Stream.concat(copies, nodes).toList()).mapEmpty();
    }

    /**
     * Ends triggers.
     *
     * @param triggers the triggers to end
     * @return nothing, or a {@link BenchException}
     */
    public Future<Void> end(List<Trigger> triggers) {
        Stream<Future<Void>> copies = site.copies().stream().map(copy -> behave(copy, List.of()));
        Stream<Future<Void>> nodes = triggers.contains(new ZonesCut())
                ? site.copies().stream().map(copy -> block(copy, List.of()))
                : Stream.of();
        return Future.all(Stream.concat(copies, nodes).toList()).mapEmpty();
    }

    /**
     * Takes the configuration service down, or up again.
     *
     * @param down whether to take it down
     * @return nothing, or a {@link BenchException}
     */
    public Future<Void> configurationDown(boolean down) {
        JsonObject mode = new JsonObject().put("mode", down ? "down" : "up").put("delayMilliseconds", 0);
        return http.put(Site.CONFIGURATION_PORT, "/faults", mode);
    }

    private Future<Void> behave(SiteCopy copy, List<Trigger> triggers) {
        JsonObject behaviour = new JsonObject().put("slowdown", 1.0).put("down", false);
        for (Trigger trigger : triggers) {
            switch (trigger) {
                case SlowService(double factor) when slowed(copy) -> behaviour.put("slowdown", factor);
                case CopyDown() when goesDown(copy) -> behaviour.put("down", true);
                case SlowService slow -> {}
                case CopyDown down -> {}
                case Surge surge -> {}
                case ZonesCut cut -> {}
            }
        }
        return http.put(copy.number(Port.COPY), "/behaviour", behaviour);
    }

    private boolean slowed(SiteCopy copy) {
        return copy.service().name().equals(site.bottleneck().slowedService());
    }

    private boolean goesDown(SiteCopy copy) {
        return copy.equals(site.copiesOf(site.bottleneck().service()).getFirst());
    }

    private List<SiteCopy> cutOffFrom(SiteCopy copy) {
        AvailabilityZone first = site.zones().getFirst();
        AvailabilityZone second = site.zones().get(1);
        if (copy.zone().equals(first)) {
            return copiesIn(second);
        }
        return copy.zone().equals(second) ? copiesIn(first) : List.of();
    }

    private List<SiteCopy> copiesIn(AvailabilityZone zone) {
        return site.copies().stream().filter(copy -> copy.zone().equals(zone)).toList();
    }

    private Future<Void> block(SiteCopy copy, List<SiteCopy> blocked) {
        JsonArray names = new JsonArray();
        blocked.forEach(other -> names.add(other.name().value()));
        return http.put(copy.number(Port.ADMIN), "/faults", new JsonObject().put("blockedPeers", names));
    }
}
