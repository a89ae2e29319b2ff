package org.carawaysill.node.exchange;

import io.vertx.core.Vertx;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.settings.SizeLimits;

/**
 * Where and within which limits an {@link ExchangeServer} serves.
 *
 * <p>Immutable and thread safe.
 *
 * @param vertx the Vert.x instance, with one event loop
 * @param address where to listen
 * @param sizes the greatest sizes of requests
 * @param connections the limits of connections
 */
public record ExchangeServerSettings(
        Vertx vertx, NetworkAddress address, SizeLimits sizes, ConnectionLimits connections) {}
