package org.carawaysill.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpServer;
import java.io.PrintStream;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.carawaysill.standin.command.CommandLine;
import org.carawaysill.standin.command.ConfigurationCommand;
import org.carawaysill.standin.command.Subcommand;
import org.carawaysill.standin.command.UpstreamCommand;
import org.carawaysill.standin.command.UsageException;
import org.carawaysill.standin.command.VmListCommand;
import org.carawaysill.standin.configuration.ConfigurationServer;
import org.carawaysill.standin.upstream.UpstreamServer;
import org.carawaysill.standin.vmlist.VmListServer;
import org.tinylog.Logger;

/**
 * The program {@code carawaysill-standin}.
 *
 * <p>No state; thread safe.
 */
public final class StandinMain {

    private static final String PREFIX = "carawaysill-standin: ";
    private static final int SUCCESS = 0;
    private static final int FAILURE = 1;
    private static final int USAGE = 2;
    private static final long GRACE_SECONDS = 10;

    private StandinMain() {}

    /**
     * Starts the program, which then runs until it is stopped.
     *
     * @param arguments the sub-command and its flags
     */
    public static void main(String[] arguments) {
        run(List.of(arguments), System.out, System.err).ifPresent(System::exit);
    }

    /**
     * Starts the program.
     *
     * @param arguments the sub-command and its flags
     * @param output the stream for the help text
     * @param errors the stream for error messages
     * @return the exit code, or empty while the program runs
     */
    static OptionalInt run(List<String> arguments, PrintStream output, PrintStream errors) {
        if (CommandLine.asksForHelp(arguments)) {
            output.print(CommandLine.help());
            return OptionalInt.of(SUCCESS);
        }
        try {
            Subcommand subcommand = CommandLine.parse(arguments);
            if (subcommand.help()) {
                output.print(CommandLine.help(subcommand));
                return OptionalInt.of(SUCCESS);
            }
            return serve(arguments.getFirst(), subcommand, errors);
        } catch (UsageException | IllegalArgumentException e) {
            errors.println(PREFIX + e.getMessage());
            return OptionalInt.of(USAGE);
        }
    }

    private static OptionalInt serve(String name, Subcommand subcommand, PrintStream errors) {
        Vertx vertx = oneEventLoop();
        try {
            HttpServer server = listen(vertx, subcommand).await();
            if (subcommand instanceof UpstreamCommand) {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> finishRequests(server), "shutdown"));
            }
            Logger.info("{} listens at port {}", name, server.actualPort());
            return OptionalInt.empty();
        } catch (UsageException | IllegalArgumentException e) {
            vertx.close();
            throw e;
        } catch (Exception e) {
            vertx.close();
            errors.println(PREFIX + "can't listen: " + e.getMessage());
            return OptionalInt.of(FAILURE);
        }
    }

    private static Future<HttpServer> listen(Vertx vertx, Subcommand subcommand) {
        return switch (subcommand) {
            case ConfigurationCommand command -> new ConfigurationServer(vertx, command.settings()).listen();
            case VmListCommand command -> new VmListServer(vertx, command.settings()).listen();
            case UpstreamCommand command -> new UpstreamServer(vertx, command.settings()).listen();
        };
    }

    /**
     * Lets a copy's requests in flight finish before the process ends on a signal. Without it a planned stop would cut
     * them off and their callers would see reset connections. The server accepts no new requests meanwhile.
     */
    private static void finishRequests(HttpServer server) {
        server.shutdown(GRACE_SECONDS, TimeUnit.SECONDS).await();
    }

    private static Vertx oneEventLoop() {
        FileSystemOptions files =
                new FileSystemOptions().setClassPathResolvingEnabled(false).setFileCachingEnabled(false);
        return Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(files));
    }
}
