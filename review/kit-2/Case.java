import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What the cases share: the record, the exit codes, and the end of all that was started. The first
 * argument of a case is the repository root, the second the folder of the case.
 */
abstract class Case {
    /** Exit codes, which run.sh translates. */
    private static final int HELD = 0;

    private static final int BROKEN = 10;
    private static final int COULD_NOT_RUN = 2;
    private static final long LIMIT_MILLIS = 115_000;
    private static Path sRoot;

    protected final List<String> record = new ArrayList<>();
    protected final List<AutoCloseable> started = new ArrayList<>();
    protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    protected Path folder;
    private final long begin = System.nanoTime();

    static Path root() {
        return sRoot;
    }

    /** Returns the run line of the only role of the deploy file. */
    static String runLine() throws IOException {
        for (String line : Files.readAllLines(sRoot.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("the deploy file has no run line");
    }

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** Runs the case and ends the process with the exit code of its outcome. */
    void go(String[] arguments) throws Exception {
        sRoot = Path.of(arguments[0]).toAbsolutePath();
        folder = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end)); // for a signal to this script
        int code = COULD_NOT_RUN;
        Thread limit = Net.thread("limit", () -> {
            Thread.sleep(LIMIT_MILLIS);
            log("the case took too long");
            finish(arguments[1], COULD_NOT_RUN);
        });
        try {
            code = play() ? HELD : BROKEN;
        } catch (Exception e) {
            log("the case couldn't run: " + e);
            for (StackTraceElement at : e.getStackTrace()) {
                log("  at " + at);
            }
            for (AutoCloseable each : started) { // before their logs are deleted
                if (each instanceof Node node) {
                    log(node.name + ": running " + node.alive() + ", " + node.lastLines());
                }
            }
        }
        limit.interrupt();
        finish(arguments[1], code);
    }

    private synchronized void finish(String to, int code) throws Exception {
        end();
        log(code == HELD ? "held" : code == BROKEN ? "BROKEN" : "couldn't run");
        Files.write(Path.of(to).resolve("record.txt"), record);
        Runtime.getRuntime().halt(code);
    }

    private void end() {
        for (int i = started.size() - 1; i >= 0; i--) {
            try {
                started.get(i).close();
            } catch (Exception e) {
                log("end: " + e);
            }
        }
        deleteFolder();
    }

    private void deleteFolder() {
        if ("1".equals(System.getenv("KEEP"))) {
            return;
        }
        try (var all = Files.walk(folder)) {
            for (Path path : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        } catch (IOException e) {
            log("end: " + e);
        }
    }

    /** Adds a line to the record. */
    void log(String text) {
        String line = String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - begin) / 1e9, text);
        synchronized (record) {
            record.add(line);
        }
        System.out.println(line);
    }

    <T extends AutoCloseable> T add(T what) {
        started.add(what);
        return what;
    }

    interface Check {
        boolean holds() throws Exception;
    }

    /** Waits until a condition holds. */
    void await(String what, long millis, Check check) throws Exception {
        long end = System.nanoTime() + millis * 1_000_000L;
        while (!check.holds()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("not in time: " + what);
            }
            Thread.sleep(20);
        }
    }

    static String config(int version, String rules, String... services) {
        StringBuilder clusters = new StringBuilder();
        for (String service : services) {
            clusters.append(clusters.length() == 0 ? "" : ",").append("{\"name\":\"").append(service)
                    .append("\",\"healthPath\":\"").append(Server.HEALTH)
                    .append("\",\"maxConnections\":120}");
        }
        return String.format("{\"version\":\"%08x\",\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":1000000,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},"
                + "\"listeners\":[{\"host\":\"shop.example\",\"rules\":[%s]}],\"clusters\":[%s]}",
                version, rules, clusters);
    }

    static String route(String name, String prefix, String type, String service, int attempts,
            String timeout, String target) {
        return String.format("{\"name\":\"%s\",\"routeType\":\"%s\",\"targetLatency\":\"%s\","
                + "\"priority\":1,\"match\":{\"pathPrefix\":\"%s\"},\"action\":{\"service\":\"%s\","
                + "\"timeout\":\"%s\",\"maxAttempts\":%d}}",
                name, type, target, prefix, service, timeout, attempts);
    }
}
