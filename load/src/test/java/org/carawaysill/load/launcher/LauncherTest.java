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

    /** Exit status of a launcher that ends on SIGTERM. */
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

        /** Returns the second process once it ignores SIGTERM. */
        private static final String PROCESS_IGNORING_SIGTERM = """
                set -euo pipefail
                . launcher/processes.sh
                leave_nothing_behind
                start_process /dev/null sleep 600
                start_process /dev/null bash -c 'trap "" TERM; : >"$0/deaf"; while true; do sleep 1; done' "$work"
                until [ -e "$work/deaf" ]; do sleep 0.01; done
                echo "${processes[1]}"
                wait
                """;

        /** Sends a second signal before the given command that follows the first signal. */
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

        /** Sends a signal after a process was started and before the launcher has recorded it. */
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
            // Guards against processes that outlive an interrupted launcher and keep their ports, so that the next demo
            // fails. The launcher must end all processes that it has started, including one that ignores SIGTERM.
            leaveNothingBehind("wait", true);
        }

        @Test
        void endWithALauncherThatNobodyReadsAnyMore() throws Exception {
            // Guards against processes that outlive a launcher whose output nobody reads, such as one piped into a
            // pager
            // that has exited. The shell writes "Terminated" for a process that ended on SIGTERM; without a reader that
            // write ended the launcher with SIGPIPE (141) before it killed the process that ignores SIGTERM.
            Process launcher = start("bash", "-c", PROCESS_IGNORING_SIGTERM);
            try (BufferedReader lines = launcher.inputReader()) {
                ProcessHandle ignoringSigterm =
                        ProcessHandle.of(Long.parseLong(lines.readLine())).orElseThrow();
                launcher.getInputStream().close();
                launcher.destroy();
                assertEquals(TERMINATED, exitCode(launcher));
                ignoringSigterm.onExit().get(LIMIT_SECONDS, TimeUnit.SECONDS);
            }
        }

        @ParameterizedTest
        @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 15, 20})
        void endWithALauncherThatIsInterruptedTwice(int command) throws Exception {
            // Guards against processes that outlive a launcher which gets two signals, as when a terminal is closed.
            // The
            // second signal arrived after the launcher had started to end and before its clean-up ignored signals, and
            // ended the launcher before it had ended any process.
            endWithTheLauncher(INTERRUPTED_TWICE.formatted(command));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {"start_process /dev/null sleep 600", "java_words() { words=(sleep); }; run_program load 600"
                })
        void endWithALauncherThatIsInterruptedWhileItStarts(String start) throws Exception {
            // Guards against a process that outlives a launcher which is interrupted while it starts processes. The
            // signal
            // arrived after the process was started and before its id was recorded, so that the clean-up missed it.
            endWithTheLauncher(INTERRUPTED_WHILE_IT_STARTS.formatted(start));
        }

        private static void endWithTheLauncher(String script) throws Exception {
            // A shell can't trap a signal that was ignored when the shell started. SIGHUP is ignored if the build runs
            // detached, so its default action is restored.
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
