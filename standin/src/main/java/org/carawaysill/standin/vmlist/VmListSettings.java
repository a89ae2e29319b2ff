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
 * @param lagMilliseconds how long after a change readers see it, 0 or more
 * @param file a JSON file with the VMs at the start, as {@code GET /vms} answers
 */
public record VmListSettings(SocketAddress listen, long lagMilliseconds, Optional<Path> file) {}
