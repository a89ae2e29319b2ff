package org.carawaysill.standin.command;

/**
 * A sub-command, one for each kind of stand-in. Args4j fills the fields of the implementations; they are read once,
 * when the settings are created.
 *
 * <p>Not thread safe: used by the main thread only.
 */
public sealed interface Subcommand permits ConfigurationCommand, VmListCommand, UpstreamCommand {

    /**
     * Returns whether the help is requested.
     *
     * @return whether the flag {@code --help} was given
     */
    boolean help();
}
