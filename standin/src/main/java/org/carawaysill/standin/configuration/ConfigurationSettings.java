package org.carawaysill.standin.configuration;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Settings of the stand-in for the configuration service.
 *
 * <p>Immutable and thread safe.
 *
 * @param listen where it listens
 * @param directory where the documents to publish at the start are, one {@code SERVICE.toml} each
 */
public record ConfigurationSettings(SocketAddress listen, Optional<Path> directory) {}
