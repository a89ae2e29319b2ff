package org.carawaysill.control.options;

/** The command line of one sub-command. Not thread safe: the parser fills it once, and then it is only read. */
public sealed interface CommandOptions permits CheckOptions, ExplainOptions, StatusOptions, DrainOptions {

    /**
     * Returns the name of the sub-command.
     *
     * @return the name, as given on the command line
     */
    String command();

    /**
     * Returns the purpose of the sub-command, for its help text.
     *
     * @return one or two sentences
     */
    String purpose();

    /**
     * Tells whether the operator asked for help.
     *
     * @return true if {@code --help} was given
     */
    boolean helpWanted();
}
