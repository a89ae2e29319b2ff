package org.carawaysill.control.options;

/** The command line of one sub-command. Filled once by its parser, then read only; not thread safe. */
public sealed interface CommandOptions permits CheckOptions, ExplainOptions, StatusOptions, DrainOptions {

    /**
     * Names the sub-command.
     *
     * @return the word on the command line
     */
    String command();

    /**
     * Tells what the sub-command is for.
     *
     * @return one or two sentences
     */
    String purpose();

    /**
     * Tells whether the operator only wants help.
     *
     * @return true if {@code --help} was given
     */
    boolean helpWanted();
}
