package org.carawaysill.soak;

import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Runs the policy of a few nodes under random schedules and checks every invariant.
 *
 * <p>Not thread safe: one thread runs it; the schedules run in parallel on the common pool.
 */
public final class SoakMain {

    private static final int BREACH = 1;
    private static final int USAGE = 2;
    private static final int END_LINES = 60;

    @Option(name = "--seeds", usage = "how many schedules to run, with seeds from --first on")
    private long seeds = 1000;

    @Option(name = "--first", usage = "the first seed")
    private long first = 1;

    @Option(name = "--seed", usage = "replay one schedule and print its end")
    private long seed;

    @Option(name = "--about", usage = "with --seed: print every line of the schedule that contains this text")
    private String about = "";

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    private SoakMain() {}

    /**
     * Starts the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        SoakMain main = new SoakMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            System.err.println("carawaysill-soak: " + e.getMessage());
            System.exit(USAGE);
        }
        if (main.help) {
            parser.printUsage(System.out);
            return;
        }
        System.exit(main.seed > 0 ? main.replay() : main.runAll());
    }

    private int replay() {
        int linesKept = about.isEmpty() ? END_LINES : Integer.MAX_VALUE;
        Schedule.Result result = new Schedule(seed, linesKept).run();
        print(seed, result);
        result.end().stream().filter(line -> line.contains(about)).forEach(System.out::println);
        return result.breaches().isEmpty() ? 0 : BREACH;
    }

    private int runAll() {
        AtomicLong breached = new AtomicLong();
        AtomicLong sent = new AtomicLong();
        AtomicLong answered = new AtomicLong();
        LongStream.range(first, first + seeds).parallel().forEach(each -> {
            Schedule.Result result = new Schedule(each, END_LINES).run();
            sent.addAndGet(result.calmSent());
            answered.addAndGet(result.calmAnswered());
            if (!result.breaches().isEmpty()) {
                breached.incrementAndGet();
                print(each, result);
            }
        });
        System.out.printf(
                "%d schedules, %d with a breach; %d of %d requests answered in the calm end%n",
                seeds, breached.get(), answered.get(), sent.get());
        return breached.get() == 0 ? 0 : BREACH;
    }

    private static void print(long seed, Schedule.Result result) {
        synchronized (System.out) {
            System.out.printf(
                    "seed %d: %d breaches, %d of %d answered in the calm end%n",
                    seed, result.breaches().size(), result.calmAnswered(), result.calmSent());
            result.breaches().stream().limit(5).forEach(breach -> System.out.println("  " + breach));
        }
    }
}
