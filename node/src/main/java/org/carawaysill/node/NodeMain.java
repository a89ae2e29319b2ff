package org.carawaysill.node;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.carawaysill.model.document.Fault;
import org.carawaysill.model.document.ParseResult;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.settings.NodeSettings;
import org.carawaysill.model.settings.NodeSettingsParser;
import org.carawaysill.node.lifecycle.NodeProcess;
import org.carawaysill.node.lifecycle.SignalStop;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.observation.LibraryLog;
import org.carawaysill.node.observation.StateLog;
import org.carawaysill.node.policy.ChosenPolicyFactory;
import org.carawaysill.node.policy.NodePolicyFactory;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/**
 * Runs a node: {@code carawaysill-node --settings FILE}.
 *
 * <p>Exit status: 0 after a planned stop; 1 if the node can't start, its policy's thread ended by an error, or its stop
 * exceeds the time limit; 2 if the command line or the settings are invalid. Thread safe.
 */
public final class NodeMain {

    private static final int INVALID_USAGE = 2;

    private static final int FAILED = 1;

    private NodeMain() {}

    /**
     * Runs a node until a planned stop ends.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        run(arguments, new ChosenPolicyFactory());
    }

    static void run(String[] arguments, NodePolicyFactory policies) {
        NodeOptions options = new NodeOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException wrong) {
            System.err.println("carawaysill-node: " + wrong.getMessage());
            parser.printUsage(System.err);
            System.exit(INVALID_USAGE);
        }
        readSettings(options.settings(), System.err)
                .ifPresentOrElse(settings -> run(settings, policies), () -> System.exit(INVALID_USAGE));
    }

    static Optional<NodeSettings> readSettings(Path file, PrintStream errors) {
        try {
            return switch (NodeSettingsParser.parse(Files.readString(file))) {
                case ParseResult.Valid<NodeSettings> valid -> Optional.of(valid.value());
                case ParseResult.Invalid<NodeSettings> invalid -> {
                    for (Fault fault : invalid.faults()) {
                        errors.println("carawaysill-node: " + file + ":" + fault);
                    }
                    yield Optional.empty();
                }
            };
        } catch (IOException unreadable) {
            errors.println("carawaysill-node: can't read " + file + ": " + unreadable);
            return Optional.empty();
        }
    }

    private static void run(NodeSettings settings, NodePolicyFactory policies) {
        NodeProcess process = NodeProcess.builder(settings, policies).build();
        LibraryLog.install(process.services().require(Counters.NAME, Counters.class), _ -> {});
        try {
            process.start().join();
        } catch (CompletionException failure) {
            StateLog.fault(Step.INGRESS, Optional.empty(), "can't start: " + failure.getCause());
            StateLog.flush();
            System.exit(FAILED);
        }
        SignalStop.install(process);
        try {
            process.stopCompletion().join();
        } catch (CompletionException failure) {
            StateLog.fault(Step.ADMISSION, Optional.empty(), "the policy's thread ended: " + failure.getCause());
            System.exit(FAILED);
        }
        System.exit(0);
    }
}
