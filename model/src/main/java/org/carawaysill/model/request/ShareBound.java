package org.carawaysill.model.request;

/**
 * What bounds the share of a route that is admitted; refusals are counted by it.
 *
 * <p>Immutable and thread safe.
 */
public enum ShareBound implements Counted {
    /** The slots of a service that the requests reach. */
    SLOTS,
    /** The callers of this node ask for more than the rate that is common to the callers of all nodes. */
    CALLERS;

    @Override
    public String family() {
        return "share_refusal";
    }
}
