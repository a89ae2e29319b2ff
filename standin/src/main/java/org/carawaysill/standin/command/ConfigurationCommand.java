package org.carawaysill.standin.command;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import org.carawaysill.standin.configuration.ConfigurationSettings;
import org.jspecify.annotations.NullUnmarked;
import org.kohsuke.args4j.Option;

/** The flags of the sub-command {@code configuration}. Not thread safe. */
@NullUnmarked
public final class ConfigurationCommand implements Subcommand {

    @Option(
            name = "--listen",
            required = true,
            metaVar = "HOST:PORT",
            handler = SocketAddressHandler.class,
            usage = "where to listen; port 0 takes a free one (required)")
    private SocketAddress listen;

    @Option(
            name = "--directory",
            metaVar = "DIRECTORY",
            usage = "publish its files SERVICE.toml at the start, as versions 1, 2, 3 and so on in order of name")
    private Path directory;

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
    public ConfigurationSettings settings() {
        return new ConfigurationSettings(listen, Optional.ofNullable(directory));
    }
}
