package org.carawaysill.node.policy;

import java.util.Optional;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.node.copy.CopyClient;
import org.carawaysill.node.exchange.ExchangeTable;
import org.carawaysill.node.lifecycle.PlannedStop;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.observation.StateLog;
import org.carawaysill.node.peer.PeerAdapter;
import org.carawaysill.node.platform.PlatformReader;
import org.carawaysill.policy.effect.Effect;

/** Passes each effect to its adapter. Thread safe, as the adapters are; never blocks. */
final class EffectDispatcher {

    private final ExchangeTable exchanges;

    private final CopyClient copy;

    private final PeerAdapter peers;

    private final PlatformReader platform;

    private final Counters counters;

    private final StatusBoard board;

    private final PlannedStop plannedStop;

    EffectDispatcher(ServiceRegistry registry) {
        this.exchanges = registry.require(ExchangeTable.NAME, ExchangeTable.class);
        this.copy = registry.require(CopyClient.NAME, CopyClient.class);
        this.peers = registry.require(PeerAdapter.NAME, PeerAdapter.class);
        this.platform = registry.require(PlatformReader.NAME, PlatformReader.class);
        this.counters = registry.require(Counters.NAME, Counters.class);
        this.board = registry.require(StatusBoard.NAME, StatusBoard.class);
        this.plannedStop = registry.require(PlannedStop.NAME, PlannedStop.class);
    }

    void dispatch(Effect effect) {
        switch (effect) {
            case Effect.SendToCopy request -> copy.send(request);
            case Effect.CancelAtCopy cancel -> copy.cancel(cancel.attempt());
            case Effect.AnswerExchange answer -> exchanges.answer(answer.exchange(), answer.outcome());
            case Effect.SendToPeer send -> peers.send(send.peer(), send.message());
            case Effect.ConnectPeer connect -> peers.connect(connect.peer(), connect.host(), connect.port());
            case Effect.DisconnectPeer disconnect -> peers.disconnect(disconnect.peer());
            case Effect.ReadConfiguration read ->
                platform.readConfiguration(read.service(), read.knownVersion(), read.maximumWait());
            case Effect.ReadVmList ignored -> platform.readVmList();
            case Effect.Count count -> counters.count(count.counted());
            case Effect.LogChange change ->
                StateLog.change(change.step(), Optional.of(change.peer()), change.message());
            case Effect.PublishStatus publish -> board.publish(publish.status());
            case Effect.StopProcess ignored -> plannedStop.drained();
        }
    }
}
