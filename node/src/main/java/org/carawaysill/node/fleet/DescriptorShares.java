package org.carawaysill.node.fleet;

/**
 * How many descriptors each kind of connection may use. The rest is for files, and connections to other nodes and to the
 * platform.
 *
 * <p>Immutable and thread safe.
 *
 * @param clients connections of clients, and of the local copy for its calls
 * @param copy connections to the local copy
 * @param unknownNodes connections of other nodes that have not said who they are
 * @param admin connections to the address for readiness, and as many to that for metrics
 */
record DescriptorShares(int clients, int copy, int unknownNodes, int admin) {

    /** What the Java virtual machine opens for its own files. */
    private static final int FILES = 200;

    private static final int CLIENTS_DIVISOR = 2;
    private static final int COPY_DIVISOR = 2;
    private static final int UNKNOWN_NODES_DIVISOR = 8;
    private static final int ADMIN_DIVISOR = 32;

    /** More than operators and the platform use at the same time. */
    private static final int MAXIMUM_ADMIN = 16;

    /** Divides the descriptors of a process. */
    static DescriptorShares of(int descriptors) {
        int available = Math.max(descriptors - FILES, ADMIN_DIVISOR);
        return new DescriptorShares(
                available / CLIENTS_DIVISOR,
                available / COPY_DIVISOR,
                available / UNKNOWN_NODES_DIVISOR,
                Math.min(available / ADMIN_DIVISOR, MAXIMUM_ADMIN));
    }
}
