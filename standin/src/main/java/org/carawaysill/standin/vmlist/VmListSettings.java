package org.carawaysill.standin.vmlist;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Settings of the stand-in for the VM list.
 *
 * <p>Immutable and thread safe.
 *
 * @param listen where it listens
 * @param lagMilliseconds the delay after which readers see a change, 0 or more
 * @param file a JSON file with the VMs at the start, as {@code GET /vms} answers
 */
public record VmListSettings(SocketAddress listen, long lagMilliseconds, Optional<Path> file) {}
