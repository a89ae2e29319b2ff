package org.carawaysill.policy.fleet.publication;

import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.EntryVersion;
import org.carawaysill.model.fleet.FleetConfiguration;

/** Understands the text of published entries. Implementations are stateless and thread safe. */
@FunctionalInterface
public interface PublicationDecoder {

    /** What an entry says. Immutable and thread safe. */
    sealed interface Publication {

        /**
         * Returns the place of the entry in the order of its writer.
         *
         * @return the version; {@link EntryVersion#NONE} where the entry tells none
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
         * An upstream copy.
         *
         * @param copy the copy
         */
        record Listed(CopyRecord copy) implements Publication {}

        /**
         * Something that this product does not use.
         */
        record Irrelevant() implements Publication {}

        /**
         * Something that should be understood, and can't be.
         *
         * @param fault what is wrong, and where
         */
        record Unreadable(String fault) implements Publication {}
    }

    /**
     * Reads an entry.
     *
     * @param key what the entry is about
     * @param text its value
     * @return what it says
     */
    Publication decode(String key, String text);
}
