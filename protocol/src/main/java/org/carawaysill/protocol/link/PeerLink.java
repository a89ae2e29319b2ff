package org.carawaysill.protocol.link;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage;

/**
 * This node's connections to other nodes.
 *
 * <p>Invariant: at most one connection to a peer carries messages at a time, whoever dialled it. All methods are thread
 * safe and none but {@link #close} blocks.
 */
public final class PeerLink implements AutoCloseable {

    private final PeerListener listener;

    private PeerLink(Builder builder) {
        listener = builder.listener.orElseThrow(() -> new IllegalStateException("a listener is needed"));
    }

    /**
     * Starts to build a link.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Listens for other nodes.
     *
     * @return the bound TCP port, or the failure to bind
     */
    public CompletableFuture<Integer> start() {
        return CompletableFuture.failedFuture(new UnsupportedOperationException("not written yet"));
    }

    /**
     * Keeps a connection open to a peer: dials it while there is none, at jittered intervals.
     *
     * @param peer the other node
     * @param host its IP number
     * @param port its TCP port for nodes
     */
    public void connect(NodeName peer, String host, int port) {}

    /**
     * Stops dialling a peer, and closes the connection to it once what was sent is written.
     *
     * @param peer the other node
     */
    public void disconnect(NodeName peer) {}

    /**
     * Sends a message, in the order of the calls of one thread.
     *
     * @param peer the other node
     * @param message the message
     */
    public void send(NodeName peer, PeerMessage message) {
        listener.unsent(peer, message);
    }

    /**
     * Drops all traffic of some peers both ways, for tests of partitions: connections to them stay but are silent.
     *
     * @param peers the peers, in place of those given before
     */
    public void block(Set<NodeName> peers) {}

    /** Writes what was sent, closes all connections and stops the event loop. */
    @Override
    public void close() {}

    /** Collects what a link needs. Not thread safe. */
    public static final class Builder {

        private Optional<NodeName> self = Optional.empty();
        private Optional<ServiceName> service = Optional.empty();
        private Optional<PeerListener> listener = Optional.empty();
        private long incarnation;
        private String host = "127.0.0.1";
        private int port;
        private LinkLimits limits = LinkLimits.defaults();

        private Builder() {}

        /**
         * Sets this node's name.
         *
         * @param name the name
         * @return this builder
         */
        public Builder self(NodeName name) {
            self = Optional.of(name);
            return this;
        }

        /**
         * Sets the service of this node's copy.
         *
         * @param name the service
         * @return this builder
         */
        public Builder service(ServiceName name) {
            service = Optional.of(name);
            return this;
        }

        /**
         * Sets the start time of this process.
         *
         * @param milliseconds milliseconds since 1970
         * @return this builder
         */
        public Builder incarnation(long milliseconds) {
            incarnation = milliseconds;
            return this;
        }

        /**
         * Sets the address to listen on.
         *
         * @param address the IP number
         * @return this builder
         */
        public Builder host(String address) {
            host = address;
            return this;
        }

        /**
         * Sets the TCP port to listen on.
         *
         * @param number the port, 0 for any free one
         * @return this builder
         */
        public Builder port(int number) {
            port = number;
            return this;
        }

        /**
         * Sets the limits.
         *
         * @param values the limits
         * @return this builder
         */
        public Builder limits(LinkLimits values) {
            limits = values;
            return this;
        }

        /**
         * Sets who hears of events.
         *
         * @param receiver the listener
         * @return this builder
         */
        public Builder listener(PeerListener receiver) {
            listener = Optional.of(receiver);
            return this;
        }

        /**
         * Builds the link, which does nothing before {@link PeerLink#start}.
         *
         * @return the link
         * @throws IllegalStateException if the name, the service or the listener is missing
         */
        public PeerLink build() {
            return new PeerLink(this);
        }
    }
}
