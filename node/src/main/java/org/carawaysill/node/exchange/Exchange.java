package org.carawaysill.node.exchange;

import io.vertx.core.http.HttpServerRequest;
import org.carawaysill.node.observation.ExchangeSide;

/**
 * An HTTP exchange that waits for its answer.
 *
 * <p>Not thread safe: confined to the event loop.
 *
 * @param side the server on which it is open
 * @param request the request, which provides the response to write
 * @param watch the watch of its connection
 * @param bodyBytes its reservation in the body budget
 */
record Exchange(ExchangeSide side, HttpServerRequest request, ConnectionWatch watch, int bodyBytes) {}
