package org.carawaysill.control;

/**
 * Starts the operator's command-line program, {@code carawaysill-control check|explain|status|drain}.
 *
 * <p>Exit code: 0 on success; 1 if the command ran but its check failed, for example because a node is behind; 2 if the
 * command line, a file or an address is invalid. Thread safe.
 */
public final class ControlMain {

    private ControlMain() {}

    /**
     * Runs one command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        ExitStatus status = new ControlProgram(System.out, System.err).run(arguments);
        System.exit(status.code());
    }
}
