package org.carawaysill.node.exchange;

import io.vertx.core.Vertx;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.settings.SizeLimits;

/**
 * The address and the limits of an {@link ExchangeServer}.
 *
 * <p>Immutable and thread safe.
 *
 * @param vertx the Vert.x instance, with one event loop
 * @param address the address to listen on
 * @param sizes the size limits of requests
 * @param connections the limits of connections
 */
public record ExchangeServerSettings(
        Vertx vertx, NetworkAddress address, SizeLimits sizes, ConnectionLimits connections) {}
