package org.carawaysill.node.upstream;

import org.carawaysill.model.request.Outcome;

/**
 * An exchange whose connection ended before its answer.
 *
 * <p>Confined to the event loop, as its exchange is.
 *
 * @param exchange the exchange
 * @param outcome what it comes to if the copy goes on
 */
record BrokenExchange(CopyExchange exchange, Outcome outcome) {}
