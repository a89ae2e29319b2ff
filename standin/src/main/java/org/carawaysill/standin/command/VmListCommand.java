package org.carawaysill.standin.command;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import org.carawaysill.standin.vmlist.VmListSettings;
import org.jspecify.annotations.NullUnmarked;
import org.kohsuke.args4j.Option;

/** The flags of the sub-command {@code vm-list}. Not thread safe. */
@NullUnmarked
public final class VmListCommand implements Subcommand {

    @Option(
            name = "--listen",
            required = true,
            metaVar = "HOST:PORT",
            handler = SocketAddressHandler.class,
            usage = "where to listen; port 0 takes a free one (required)")
    private SocketAddress listen;

    @Option(name = "--lag-milliseconds", metaVar = "N", usage = "how long after a change readers see it")
    private long lagMilliseconds;

    @Option(name = "--file", metaVar = "FILE", usage = "list its VMs at the start; JSON, as GET /vms answers")
    private Path file;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    @Override
    public boolean help() {
        return help;
    }

    /**
     * Returns the settings.
     *
     * @return the settings
     */
    public VmListSettings settings() {
        if (lagMilliseconds < 0) {
            throw new UsageException("--lag-milliseconds must be at least 0");
        }
        return new VmListSettings(listen, lagMilliseconds, Optional.ofNullable(file));
    }
}
