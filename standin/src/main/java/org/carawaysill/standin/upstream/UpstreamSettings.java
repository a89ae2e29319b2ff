package org.carawaysill.standin.upstream;

import io.vertx.core.net.SocketAddress;
import java.util.Optional;

/**
 * Settings of the stand-in for an upstream copy.
 *
 * <p>Immutable and thread safe; created by a {@link Builder}.
 */
public final class UpstreamSettings {

    /** Default capacity of the run log, in pairs of trace and operation; a full log takes about 17 MB. */
    public static final int DEFAULT_RUN_LOG_ENTRIES = 500_000;

    private final Builder values;

    private UpstreamSettings(Builder values) {
        this.values = new Builder(values);
    }

    /**
     * Creates a builder.
     *
     * @param graph what the copy's service does
     * @param name the copy's name
     * @param listen where it listens
     * @return a builder with the other settings at their defaults
     */
    public static Builder builder(ServiceGraph graph, String name, SocketAddress listen) {
        return new Builder(graph, name, listen);
    }

    ServiceGraph graph() {
        return values.graph;
    }

    String name() {
        return values.name;
    }

    SocketAddress listen() {
        return values.listen;
    }

    int slots() {
        return values.slots;
    }

    int connections() {
        return values.connections;
    }

    Optional<SocketAddress> nodeEgress() {
        return values.nodeEgress;
    }

    long coldStartMilliseconds() {
        return values.coldStartMilliseconds;
    }

    long seed() {
        return values.seed;
    }

    boolean falseLoad() {
        return values.falseLoad;
    }

    int runLogEntries() {
        return values.runLogEntries;
    }

    /** Collects settings. Not thread safe. */
    public static final class Builder {

        private final ServiceGraph graph;
        private final String name;
        private final SocketAddress listen;
        private int slots = 1;
        private int connections = 1;
        private Optional<SocketAddress> nodeEgress = Optional.empty();
        private long coldStartMilliseconds;
        private long seed = 1;
        private boolean falseLoad;
        private int runLogEntries = DEFAULT_RUN_LOG_ENTRIES;

        private Builder(ServiceGraph graph, String name, SocketAddress listen) {
            this.graph = graph;
            this.name = name;
            this.listen = listen;
        }

        private Builder(Builder other) {
            this(other.graph, other.name, other.listen);
            this.slots = other.slots;
            this.connections = other.connections;
            this.nodeEgress = other.nodeEgress;
            this.coldStartMilliseconds = other.coldStartMilliseconds;
            this.seed = other.seed;
            this.falseLoad = other.falseLoad;
            this.runLogEntries = other.runLogEntries;
        }

        /**
         * Sets how many requests run at a time, and how many run or wait at a time.
         *
         * @param slotCount the slots, at least 1
         * @param connectionCount the connections, at least as many
         * @return this builder
         */
        public Builder capacity(int slotCount, int connectionCount) {
            this.slots = slotCount;
            this.connections = connectionCount;
            return this;
        }

        /**
         * Sets the address at which the copy calls deeper services.
         *
         * @param address the egress port of its node
         * @return this builder
         */
        public Builder nodeEgress(Optional<SocketAddress> address) {
            this.nodeEgress = address;
            return this;
        }

        /**
         * Sets how long the copy warms up.
         *
         * @param milliseconds the time, 0 for a copy that is warm at once
         * @return this builder
         */
        public Builder coldStartMilliseconds(long milliseconds) {
            this.coldStartMilliseconds = milliseconds;
            return this;
        }

        /**
         * Sets the seed of the random service times.
         *
         * @param value the seed
         * @return this builder
         */
        public Builder seed(long value) {
            this.seed = value;
            return this;
        }

        /**
         * Sets whether the load endpoint always reports an idle copy.
         *
         * @param value whether it always reports an idle copy
         * @return this builder
         */
        public Builder falseLoad(boolean value) {
            this.falseLoad = value;
            return this;
        }

        /**
         * Sets how many pairs of trace and operation the run log stores.
         *
         * @param entries their number
         * @return this builder
         */
        public Builder runLogEntries(int entries) {
            this.runLogEntries = entries;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         * @throws IllegalArgumentException if they contradict each other; the message is one line
         */
        public UpstreamSettings build() {
            if (slots < 1 || connections < slots) {
                throw new IllegalArgumentException("slots must be at least 1, and connections at least as many");
            }
            if (coldStartMilliseconds < 0 || runLogEntries < 1) {
                throw new IllegalArgumentException(
                        "the cold start must be at least 0 milliseconds, and the run log at least 1 entry");
            }
            if (graph.callsDeeper() && nodeEgress.isEmpty()) {
                throw new IllegalArgumentException(
                        "the graph calls deeper services, so the egress address of the node is needed");
            }
            return new UpstreamSettings(this);
        }
    }
}
