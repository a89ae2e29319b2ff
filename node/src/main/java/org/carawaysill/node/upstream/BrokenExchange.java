package org.carawaysill.node.upstream;

import org.carawaysill.model.request.Outcome;

/**
 * An exchange whose connection ended before its answer.
 *
 * <p>Not thread safe, like its exchange: confined to the event loop.
 *
 * @param exchange the exchange
 * @param outcome its outcome if the copy is still running
 */
record BrokenExchange(CopyExchange exchange, Outcome outcome) {}
