package org.azurearch.pgm.demo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** A command of this program that runs in a separate process. */
public final class ChildProcess implements AutoCloseable {
    private static final String READY_PREFIX = "ready ";
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);

    private final String mName;
    private final Process mProcess;
    private final CompletableFuture<String> mReadyLine = new CompletableFuture<>();

    private ChildProcess(String name, Process process) {
        mName = name;
        mProcess = process;
        Thread reader = new Thread(this::readOutput, "output-of-" + name);
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * Starts a command.
     *
     * @param name the name of the process, for messages
     * @param maxHeapMebibytes the largest size of its heap, in MiB
     * @param log the file to which its standard error is appended
     * @param arguments the command and its arguments
     */
    public static ChildProcess start(
            String name, int maxHeapMebibytes, Path log, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-Xmx" + maxHeapMebibytes + "m");
        command.add("-XX:+UseSerialGC");
        command.add("-XX:TieredStopAtLevel=1");
        command.add("-cp");
        command.add(classPath());
        command.add("org.azurearch.pgm.Main");
        command.addAll(arguments);
        try {
            Process process =
                    new ProcessBuilder(command)
                            .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                            .start();
            return new ChildProcess(name, process);
        } catch (IOException e) {
            throw new AzurearchException(ErrorCode.INTERNAL, "cannot start " + name, e);
        }
    }

    /**
     * Waits until the process has printed its line {@code ready ...}.
     *
     * @return the words of the line
     * @throws AzurearchException with {@code INTERNAL} when it ends first or takes too long
     */
    public List<String> awaitReady() {
        try {
            String line = mReadyLine.get(START_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            return List.of(line.split(" "));
        } catch (ExecutionException | TimeoutException e) {
            throw new AzurearchException(ErrorCode.INTERNAL, mName + " did not become ready", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AzurearchException(ErrorCode.CANCELLED, "interrupted", e);
        }
    }

    /** Returns the process id. */
    public long pid() {
        return mProcess.pid();
    }

    /**
     * Sends SIGTERM and waits until the process has ended.
     *
     * @throws AzurearchException with {@code INTERNAL} when it takes too long; it is then killed
     */
    public void stop() {
        mProcess.destroy();
        if (!awaitExit()) {
            kill();
            throw new AzurearchException(ErrorCode.INTERNAL, mName + " did not stop in time");
        }
    }

    /** Kills the process and waits until it has ended. */
    public void kill() {
        mProcess.destroyForcibly();
        awaitExit();
    }

    @Override
    public void close() {
        if (mProcess.isAlive()) {
            kill();
        }
    }

    private static String classPath() {
        return System.getProperty(
                "surefire.test.class.path", System.getProperty("java.class.path"));
    }

    private boolean awaitExit() {
        try {
            return mProcess.waitFor(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void readOutput() {
        try (BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(mProcess.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith(READY_PREFIX)) {
                    mReadyLine.complete(line);
                }
            }
            mReadyLine.completeExceptionally(new IOException(mName + " ended before it was ready"));
        } catch (IOException e) {
            mReadyLine.completeExceptionally(e);
        }
    }
}
