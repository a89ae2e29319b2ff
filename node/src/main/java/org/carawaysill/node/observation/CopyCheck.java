package org.carawaysill.node.observation;

import org.carawaysill.model.fleet.CopyName;

/**
 * The inputs and the result of a check whether the local copy has ended, after a request lost its connection to it.
 *
 * <p>Immutable and thread safe.
 *
 * @param copy the copy
 * @param probe the result of the last new connection to the copy
 * @param probes the number of new connections that were tried
 * @param openBefore the number of other connections that were open when the first one ended
 * @param openAfter how many of these were still open at the end of the check
 * @param crashed whether the copy is taken to have ended, not only some of its connections
 * @param lost the number of requests that ended without an answer
 * @param kept the number of requests that continue at the copy
 */
public record CopyCheck(
        CopyName copy,
        ProbeResult probe,
        int probes,
        int openBefore,
        int openAfter,
        boolean crashed,
        int lost,
        int kept) {

    /** The result of a new connection that is opened to find out whether the copy still listens. */
    public enum ProbeResult {
        /** The copy accepted the connection. */
        ACCEPTED,
        /** Nobody listens at the copy's address. */
        REFUSED,
        /** The connection was not established in time. */
        TIMED_OUT,
        /** The connection failed for another reason. */
        FAILED
    }

    /**
     * Starts the record of a check.
     *
     * @param copy the copy
     * @return a builder with all numbers 0
     */
    public static Builder of(CopyName copy) {
        return new Builder(copy);
    }

    /** Collects the values of a check. Not thread safe. */
    public static final class Builder {

        private final CopyName copy;
        private ProbeResult probe = ProbeResult.FAILED;
        private int probes;
        private int openBefore;
        private int openAfter;
        private boolean crashed;
        private int lost;
        private int kept;

        private Builder(CopyName copy) {
            this.copy = copy;
        }

        /**
         * Sets the result of the last probe.
         *
         * @param result the result
         * @return this builder
         */
        public Builder probe(ProbeResult result) {
            probe = result;
            return this;
        }

        /**
         * Sets the number of probes.
         *
         * @param count the number
         * @return this builder
         */
        public Builder probes(int count) {
            probes = count;
            return this;
        }

        /**
         * Sets the number of other connections that were open at the start of the check.
         *
         * @param count the number
         * @return this builder
         */
        public Builder openBefore(int count) {
            openBefore = count;
            return this;
        }

        /**
         * Sets how many of these are open at the end of the check.
         *
         * @param count the number
         * @return this builder
         */
        public Builder openAfter(int count) {
            openAfter = count;
            return this;
        }

        /**
         * Sets the verdict.
         *
         * @param verdict whether the copy is taken to have ended
         * @return this builder
         */
        public Builder crashed(boolean verdict) {
            crashed = verdict;
            return this;
        }

        /**
         * Sets the number of requests that ended without an answer.
         *
         * @param count the number
         * @return this builder
         */
        public Builder lost(int count) {
            lost = count;
            return this;
        }

        /**
         * Sets the number of requests that continue at the copy.
         *
         * @param count the number
         * @return this builder
         */
        public Builder kept(int count) {
            kept = count;
            return this;
        }

        /**
         * Returns the complete record.
         *
         * @return the check
         */
        public CopyCheck build() {
            return new CopyCheck(copy, probe, probes, openBefore, openAfter, crashed, lost, kept);
        }
    }
}
