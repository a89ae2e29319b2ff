package org.carawaysill.load.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LauncherTest {

    private static final Path HOME = Path.of("..").toAbsolutePath().normalize();
    private static final long LIMIT_SECONDS = 60;

    /** Exit status of a launcher that ends at the signal for a polite end. */
    private static final int TERMINATED = 143;

    private static Process start(String... words) throws IOException {
        return new ProcessBuilder(words)
                .directory(HOME.toFile())
                .redirectErrorStream(true)
                .start();
    }

    private static int exitCode(Process process) throws InterruptedException {
        assertTrue(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS), "still running");
        return process.exitValue();
    }

    @Nested
    class WrongCommandLines {

        @ParameterizedTest
        @ValueSource(strings = {"fly", "demo --fast", "demo --seed", "latency --fast", "latency --rates"})
        void getOneLine(String arguments) throws Exception {
            Process launcher = start("bash", "-c", "./carawaysill " + arguments);
            List<String> lines = launcher.inputReader().lines().toList();
            assertEquals(2, exitCode(launcher));
            assertEquals(1, lines.size(), lines.toString());
            assertTrue(lines.getFirst().startsWith("carawaysill: "), lines.getFirst());
        }
    }

    @Nested
    class Processes {

        private static final String TWO_PROCESSES = """
                set -euo pipefail
                . launcher/processes.sh
                leave_nothing_behind
                start_process /dev/null sleep 600
                start_process /dev/null bash -c 'trap "" TERM; while true; do sleep 1; done'
                echo "${processes[*]}"
                %s
                """;

        /** Names the second process once it is deaf to a polite end. */
        private static final String DEAF_PROCESS = """
                set -euo pipefail
                . launcher/processes.sh
                leave_nothing_behind
                start_process /dev/null sleep 600
                start_process /dev/null bash -c 'trap "" TERM; : >"$0/deaf"; while true; do sleep 1; done' "$work"
                until [ -e "$work/deaf" ]; do sleep 0.01; done
                echo "${processes[1]}"
                wait
                """;

        /** Gets a second signal before the given command that follows the first one. */
        private static final String INTERRUPTED_TWICE = """
                set -euo pipefail
                . launcher/processes.sh
                leave_nothing_behind
                start_process /dev/null sleep 600
                echo "${processes[0]}"
                commands=0
                set -T
                trap '[ $((++commands)) -ne %d ] || kill -TERM $$' DEBUG
                kill -HUP $$
                wait
                """;

        /** Gets a signal after a process was started and before the launcher has noted it down. */
        private static final String INTERRUPTED_WHILE_IT_STARTS = """
                set -euo pipefail
                . launcher/processes.sh
                leave_nothing_behind
                set -T
                trap 'case $BASH_COMMAND in processes+=*) echo $!; kill -TERM $$ ;; esac' DEBUG
                %s
                wait
                """;

        private void leaveNothingBehind(String rest, boolean interrupted) throws Exception {
            Process launcher = start("bash", "-c", TWO_PROCESSES.formatted(rest));
            try (BufferedReader lines = launcher.inputReader()) {
                List<ProcessHandle> started = List.of(lines.readLine().split(" ")).stream()
                        .map(Long::valueOf)
                        .flatMap(identifier -> ProcessHandle.of(identifier).stream())
                        .toList();
                if (interrupted) {
                    launcher.destroy();
                }
                assertTrue(exitCode(launcher) > 0);
                for (ProcessHandle process : started) {
                    process.onExit().get(LIMIT_SECONDS, TimeUnit.SECONDS);
                }
            }
        }

        @Test
        void endWithALauncherThatIsInterrupted() throws Exception {
            // Someone stops the demo half-way. Thirty processes stay behind, hold the ports, and the next demo fails:
            // the
            // launcher died without ending what it had started, one of them deaf to a polite end.
            leaveNothingBehind("wait", true);
        }

        @Test
        void endWithALauncherThatNobodyReadsAnyMore() throws Exception {
            // Someone pipes the demo into a pager, leaves the pager and stops the demo. The processes that don't end
            // by themselves stay behind and hold the ports. The shell itself reports "Terminated" for the process that
            // ended politely; nobody reads that, so it was ended by SIGPIPE (141) before it killed the deaf one.
            Process launcher = start("bash", "-c", DEAF_PROCESS);
            try (BufferedReader lines = launcher.inputReader()) {
                ProcessHandle deaf =
                        ProcessHandle.of(Long.parseLong(lines.readLine())).orElseThrow();
                launcher.getInputStream().close();
                launcher.destroy();
                assertEquals(TERMINATED, exitCode(launcher));
                deaf.onExit().get(LIMIT_SECONDS, TimeUnit.SECONDS);
            }
        }

        @ParameterizedTest
        @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 15, 20})
        void endWithALauncherThatIsInterruptedTwice(int command) throws Exception {
            // Someone closes the terminal, and the session's end sends a second signal. All processes stay behind. The
            // second signal came after the launcher had begun to end and before its clean-up ignored signals: it ended
            // in the midst of it, with nothing done.
            endWithTheLauncher(INTERRUPTED_TWICE.formatted(command));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {"start_process /dev/null sleep 600", "java_words() { words=(sleep); }; run_program load 600"
                })
        void endWithALauncherThatIsInterruptedWhileItStarts(String start) throws Exception {
            // Someone stops the demo while it starts its thirty processes. One of them stays behind: the signal came
            // after that process was started and before its number was noted down, so the clean-up didn't know it.
            endWithTheLauncher(INTERRUPTED_WHILE_IT_STARTS.formatted(start));
        }

        private static void endWithTheLauncher(String script) throws Exception {
            // A shell can't trap a signal that was ignored when it started, as this one is where the build runs
            // detached.
            Process launcher = start("env", "--default-signal=HUP", "bash", "-c", script);
            try (BufferedReader lines = launcher.inputReader()) {
                Optional<ProcessHandle> process = ProcessHandle.of(Long.parseLong(lines.readLine()));
                assertEquals(TERMINATED, exitCode(launcher));
                if (process.isPresent()) {
                    process.get().onExit().get(LIMIT_SECONDS, TimeUnit.SECONDS);
                }
            }
        }

        @Test
        void endWithALauncherThatFails() throws Exception {
            leaveNothingBehind("false", false);
        }
    }
}
