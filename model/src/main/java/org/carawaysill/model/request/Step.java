package org.carawaysill.model.request;

/**
 * The step in the processing of a request, or of control work, at which an error arose.
 *
 * <p>Immutable and thread safe.
 */
public enum Step {
    /** Reading the caller's request. */
    INGRESS,
    /** Deciding whether to admit the request. */
    ADMISSION,
    /** Waiting for a slot of the local copy. */
    QUEUE,
    /** Choosing the node of another copy. */
    ROUTING,
    /** Sending the request to another node. */
    PEER_SEND,
    /** Waiting for another node's answer. */
    PEER_WAIT,
    /** Opening a connection to the local copy. */
    COPY_CONNECT,
    /** Writing the request to the local copy. */
    COPY_WRITE,
    /** Waiting for the local copy's answer. */
    COPY_WAIT,
    /** Deciding whether this node may run a request that must run at most once. */
    OWNERSHIP,
    /** Reading or adopting configuration. */
    CONFIGURATION,
    /** Reading the list of VMs. */
    VM_LIST,
    /** Stopping the node as planned. */
    DRAIN,
    /** Tracking other nodes. */
    MEMBERSHIP
}
