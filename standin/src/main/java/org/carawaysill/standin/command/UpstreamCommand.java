package org.carawaysill.standin.command;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import org.carawaysill.standin.upstream.ServiceGraph;
import org.carawaysill.standin.upstream.ServiceGraphFile;
import org.carawaysill.standin.upstream.UpstreamSettings;
import org.jspecify.annotations.NullUnmarked;
import org.kohsuke.args4j.Option;

/** The flags of the sub-command {@code upstream}. Not thread safe. */
@NullUnmarked
public final class UpstreamCommand implements Subcommand {

    @Option(name = "--name", required = true, metaVar = "NAME", usage = "the copy's name (required)")
    private String name;

    @Option(name = "--service", required = true, metaVar = "SERVICE", usage = "the service, as in the graph (required)")
    private String service;

    @Option(
            name = "--listen",
            required = true,
            metaVar = "HOST:PORT",
            handler = SocketAddressHandler.class,
            usage = "where to listen; port 0 takes a free one (required)")
    private SocketAddress listen;

    @Option(
            name = "--graph",
            required = true,
            metaVar = "FILE",
            usage = "TOML file with operations and calls (required)")
    private Path graph;

    @Option(
            name = "--node-egress",
            metaVar = "HOST:PORT",
            handler = SocketAddressHandler.class,
            usage = "the egress port of the copy's node; needed where the graph has calls")
    private SocketAddress nodeEgress;

    @Option(name = "--slots", required = true, metaVar = "N", usage = "how many requests run at a time (required)")
    private int slots;

    @Option(
            name = "--connections",
            required = true,
            metaVar = "N",
            usage = "how many requests run or wait at a time (required)")
    private int connections;

    @Option(
            name = "--service-milliseconds",
            metaVar = "N",
            usage = "mean of the work per request of every operation, in place of the graph's")
    private Double serviceMilliseconds;

    @Option(
            name = "--cold-start-milliseconds",
            metaVar = "N",
            usage = "for how long after a start the work takes longer, four times at first")
    private long coldStartMilliseconds;

    @Option(name = "--seed", metaVar = "N", usage = "seed of the work's randomness")
    private long seed = 1;

    @Option(name = "--false-load", usage = "let GET /load say that the copy is idle, whatever it does")
    private boolean falseLoad;

    @Option(
            name = "--run-log-entries",
            metaVar = "N",
            usage = "how many pairs of trace and operation the run log remembers")
    private int runLogEntries = UpstreamSettings.DEFAULT_RUN_LOG_ENTRIES;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    @Override
    public boolean help() {
        return help;
    }

    /**
     * Returns the settings.
     *
     * @return the settings
     * @throws IllegalArgumentException if they contradict each other or the graph; the message is one line
     */
    public UpstreamSettings settings() {
        return UpstreamSettings.builder(serviceGraph(), name, listen)
                .capacity(slots, connections)
                .nodeEgress(Optional.ofNullable(nodeEgress))
                .coldStartMilliseconds(coldStartMilliseconds)
                .seed(seed)
                .falseLoad(falseLoad)
                .runLogEntries(runLogEntries)
                .build();
    }

    private ServiceGraph serviceGraph() {
        ServiceGraph read = ServiceGraphFile.read(graph);
        if (!read.service().equals(service)) {
            throw new UsageException(graph + " is of " + read.service() + ", not of " + service);
        }
        return serviceMilliseconds == null ? read : read.withServiceMilliseconds(serviceMilliseconds);
    }
}
