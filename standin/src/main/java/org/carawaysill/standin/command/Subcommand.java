package org.carawaysill.standin.command;

/**
 * What the program is asked to stand in for. The fields of the implementations are filled in by args4j and read once,
 * when the settings are made of them.
 *
 * <p>Not thread safe: used by the main thread only.
 */
public sealed interface Subcommand permits ConfigurationCommand, VmListCommand, UpstreamCommand {

    /**
     * Tells whether only the help is wanted.
     *
     * @return whether the flag {@code --help} was given
     */
    boolean help();
}
