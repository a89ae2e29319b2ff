package org.carawaysill.node.exchange;

import io.vertx.core.http.HttpServerRequest;
import org.carawaysill.node.observation.ExchangeSide;

/**
 * An HTTP exchange that waits for its answer.
 *
 * <p>Confined to the event loop.
 *
 * @param side at which server it is open
 * @param request the request and, in it, the response to write
 * @param watch the watch of its connection
 * @param bodyBytes what it has taken from the budget of bodies
 */
record Exchange(ExchangeSide side, HttpServerRequest request, ConnectionWatch watch, int bodyBytes) {}
