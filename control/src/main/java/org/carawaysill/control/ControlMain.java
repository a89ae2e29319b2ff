package org.carawaysill.control;

/**
 * Runs the operator's program: {@code carawaysill-control check|explain|status|drain}.
 *
 * <p>Exit code: 0 if all is well, 1 if what was looked at is not as it should be, 2 if the command line, a file or an
 * address is wrong. Thread safe.
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
