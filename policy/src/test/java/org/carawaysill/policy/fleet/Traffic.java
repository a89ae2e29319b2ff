package org.carawaysill.policy.fleet;

import org.carawaysill.policy.message.PeerMessage;

/** Counts the messages sent between nodes and their bytes. Not thread safe. */
final class Traffic {

    long messages;
    long acrossZones;
    long bytes;
    long bytesAcrossZones;

    void add(PeerMessage message, boolean crosses) {
        messages++;
        long size = MessageSizes.of(message);
        bytes += size;
        if (crosses) {
            acrossZones++;
            bytesAcrossZones += size;
        }
    }
}
