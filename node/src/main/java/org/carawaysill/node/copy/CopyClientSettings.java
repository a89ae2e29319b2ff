package org.carawaysill.node.copy;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.function.LongSupplier;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.settings.SizeLimits;

/**
 * The address and the limits of a {@link CopyClient}.
 *
 * <p>Immutable and thread safe.
 *
 * @param vertx the Vert.x instance, with one event loop
 * @param eventLoop the context of the event loop
 * @param copy the copy's address
 * @param sizes the size limits of answers
 * @param nanoClock the monotonic clock of deadlines, in nanoseconds
 */
public record CopyClientSettings(
        Vertx vertx, Context eventLoop, NetworkAddress copy, SizeLimits sizes, LongSupplier nanoClock) {}
