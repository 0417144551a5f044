package org.azurearch.junit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What a process uses of its machine, as the kernel reports it under {@code /proc}. */
public final class ProcessUsage {
    private static final long BYTES_PER_KB = 1_024;

    private ProcessUsage() {}

    /** Returns the largest resident memory that a process has had, in bytes. */
    public static long peakResidentBytes(long pid) throws IOException {
        for (String line : Files.readAllLines(file(pid, "status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KB;
            }
        }
        throw new IOException("no VmHWM of process " + pid);
    }

    /** Returns the number of descriptors that a process has open. */
    public static int openDescriptors(long pid) throws IOException {
        String[] open = file(pid, "fd").toFile().list();
        if (open == null) {
            throw new IOException("no descriptors of process " + pid);
        }
        return open.length;
    }

    private static Path file(long pid, String name) {
        return Path.of("/proc", Long.toString(pid), name);
    }
}
