package org.carawaysill.policy.fleet.publication;

import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.EntryVersion;
import org.carawaysill.model.fleet.FleetConfiguration;

/** Decodes the text of published entries. Implementations are stateless and thread safe. */
@FunctionalInterface
public interface PublicationDecoder {

    /** The content of an entry. Immutable and thread safe. */
    sealed interface Publication {

        /**
         * Returns the entry's position in the order of its writer.
         *
         * @return the version; {@link EntryVersion#NONE} if the entry has none
         */
        default EntryVersion version() {
            return switch (this) {
                case Configured(FleetConfiguration configuration) ->
                    new EntryVersion(0, configuration.version(), EntryVersion.Stage.PRESENT);
                case Listed(CopyRecord copy) -> copy.version();
                case Irrelevant _, Unreadable _ -> EntryVersion.NONE;
            };
        }

        /**
         * The operators' configuration.
         *
         * @param configuration the configuration
         */
        record Configured(FleetConfiguration configuration) implements Publication {}

        /**
         * The record of an upstream copy.
         *
         * @param copy the record
         */
        record Listed(CopyRecord copy) implements Publication {}

        /** An entry that this product does not use. */
        record Irrelevant() implements Publication {}

        /**
         * An entry of a known kind that cannot be decoded.
         *
         * @param fault what is wrong, and where
         */
        record Unreadable(String fault) implements Publication {}
    }

    /**
     * Decodes an entry.
     *
     * @param key the entry's key
     * @param text its value
     * @return its content
     */
    Publication decode(String key, String text);
}
