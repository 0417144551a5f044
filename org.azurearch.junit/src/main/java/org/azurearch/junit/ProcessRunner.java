package org.azurearch.junit;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Runs a Java main class of the test's class path in a separate process. */
public final class ProcessRunner implements AutoCloseable {
    private static final int MAX_OUTPUT_LINES = 2_000;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);

    private final Process mProcess;
    private final String mName;
    private final Deque<String> mOutput = new ArrayDeque<>();

    private ProcessRunner(String name, Process process) {
        mName = name;
        mProcess = process;
        Thread reader = new Thread(this::readOutput, "output of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * Starts a process.
     *
     * @param mainClass the class with the main method
     * @param heapMebibytes the maximum heap size in MiB
     * @param arguments the arguments of the main method
     */
    public static ProcessRunner start(
            Class<?> mainClass, int heapMebibytes, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-Xmx" + heapMebibytes + "m");
        command.add("-XX:+UseSerialGC");
        command.add("-XX:TieredStopAtLevel=1");
        command.add("-cp");
        command.add(classPath());
        command.add(mainClass.getName());
        command.addAll(arguments);
        try {
            Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
            return new ProcessRunner(mainClass.getSimpleName(), process);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Waits for a line of output.
     *
     * @param pattern the pattern to find within the line
     * @return the match, for its groups
     * @throws AssertionError with the output when the line does not come in time or the process
     *     exits without it
     */
    public Matcher awaitLine(Pattern pattern) {
        @Nullable Matcher[] found = new Matcher[1];
        try {
            Await.until(
                    mName + " prints " + pattern,
                    () -> {
                        found[0] = find(pattern);
                        return found[0] != null || !mProcess.isAlive();
                    });
        } catch (AssertionError e) {
            throw new AssertionError(e.getMessage() + "\n" + String.join("\n", output()), e);
        }
        Matcher match = found[0] != null ? found[0] : find(pattern);
        if (match == null) {
            throw new AssertionError(mName + " exited early\n" + String.join("\n", output()));
        }
        return match;
    }

    /** Returns the last lines of the output. */
    public List<String> output() {
        synchronized (mOutput) {
            return List.copyOf(mOutput);
        }
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Kills the process without letting it clean up, and waits for its exit. */
    public void kill() {
        mProcess.destroyForcibly();
        awaitExit();
    }

    /** Sends SIGTERM, waits until the process exits and returns the exit code. */
    public int stop() {
        mProcess.destroy();
        return awaitExit();
    }

    /** Pauses the process with SIGSTOP, as when its VM is paused. */
    public void pause() {
        signal("STOP");
    }

    /** Resumes a paused process. */
    public void resume() {
        signal("CONT");
    }

    /**
     * Waits until the process exits.
     *
     * @return the exit code
     */
    public int awaitExit() {
        try {
            if (!mProcess.waitFor(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new AssertionError(mName + " did not exit\n" + String.join("\n", output()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError("interrupted", e);
        }
        return mProcess.exitValue();
    }

    @Override
    public void close() {
        kill();
    }

    private void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private @Nullable Matcher find(Pattern pattern) {
        for (String line : output()) {
            Matcher matcher = pattern.matcher(line);
            if (matcher.find()) {
                return matcher;
            }
        }
        return null;
    }

    private void readOutput() {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(mProcess.getInputStream(), StandardCharsets.UTF_8))) {
            String line = reader.readLine();
            while (line != null) {
                addOutput(line);
                line = reader.readLine();
            }
        } catch (IOException e) {
            addOutput("cannot read the output: " + e);
        }
    }

    private void addOutput(String line) {
        synchronized (mOutput) {
            mOutput.addLast(line);
            if (mOutput.size() > MAX_OUTPUT_LINES) {
                mOutput.removeFirst();
            }
        }
    }

    private static String classPath() {
        String surefire = System.getProperty("surefire.test.class.path", "");
        return surefire.isEmpty() ? System.getProperty("java.class.path") : surefire;
    }
}
