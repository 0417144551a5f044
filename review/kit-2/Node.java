import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A node as a process, started with the run line of the deploy file. */
final class Node implements AutoCloseable {
    final String name;
    final String ip;
    final int callPort;
    final int readyPort;
    final int adminPort;
    final int peerPort;
    private final Path settings;
    private final File log;
    private final Object lock = new Object();
    private Process process;
    private boolean closed;

    Node(Path folder, String name, String zone, String ip, int peerPort, Server server, Store store,
            List<String> further) throws IOException {
        this.name = name;
        this.ip = ip;
        this.peerPort = peerPort;
        callPort = Net.freePort(ip);
        readyPort = Net.freePort(ip);
        adminPort = Net.freePort(ip);
        settings = folder.resolve(name + ".conf");
        log = folder.resolve(name + ".log").toFile();
        List<String> lines = new ArrayList<>(List.of(
                "nodeId=" + name, "role=sidecar", "machineClass=sidecar", "serves=sidecar",
                "ip=" + ip, "zone=" + zone, "region=r", "zones." + zone + "=r",
                "listen.inbound=" + ip + ":" + Net.freePort(ip),
                "listen.outbound=" + calls(), "listen.ready=" + ip + ":" + readyPort,
                "listen.admin=" + admin(), "internalPortRange=" + peerPort + "," + (peerPort + 15),
                "seeds=", "bootstrap=true", "lossCounted=false", "limits.cpuShare=0.6",
                "limits.cores=1", "limits.memoryMb=430", "limits.maxFds=4100",
                "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=static", "entry=static",
                "heartbeat=870ms", "contracts=base,drain,config,cost,retry,recover,platform",
                "faultTolerance.machines=2", "faultTolerance.zones=1", "faultTolerance.regions=0",
                "bounds.seedLag=3s", "bounds.reuseAfter=2s", "bounds.stabilityWindow=3000ms",
                "bounds.ack=4000ms", "bounds.catchUp=4s", "bounds.drain=2000ms", "bounds.grace=6s",
                "bounds.lossSlack=200ms", "bounds.configApply=2000ms", "bounds.rollbackSlack=250ms",
                "bounds.maxSkew=5000ms", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindow=10s",
                "bounds.budgetSlack=60", "bounds.recovery=15s", "appAddr=" + server.address(),
                "service=" + server.service, "platform.address=" + store.address(), "platform.form=log",
                "platform.writesPerS=400", "platform.readsPerS=2000", "platform.parts=32",
                "platform.append=2ms", "platform.partMbS=20.0", "platform.readMbS=80.0",
                "platform.recordBytes=262144", "platform.maxRequestBytes=2097152",
                "platform.keep=300s", "platform.partMb=200", "platform.minTtl=1000ms"));
        lines.addAll(further);
        Files.write(settings, lines);
    }

    String calls() {
        return ip + ":" + callPort;
    }

    String admin() {
        return ip + ":" + adminPort;
    }

    /** Starts the process in the repository root; the program is the one that the deploy file names. */
    void start() throws IOException {
        List<String> words = new ArrayList<>(List.of(Case.runLine().split(" ")));
        ProcessBuilder builder = new ProcessBuilder(words).directory(Case.root().toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("AZUREARCH_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        synchronized (lock) {
            if (closed) {
                throw new IOException("the case is over");
            }
            process = builder.start();
        }
    }

    boolean alive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.isAlive() ? -1 : process.exitValue();
    }

    /** Returns whether the node says that it is ready. */
    boolean ready() {
        return Client.once(ip + ":" + readyPort, "GET", "/readyz", "") == 200;
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    void awaitExit(long millis) throws InterruptedException {
        process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Returns the lines of its log that contain one of some words. */
    List<String> logged(String... words) throws IOException {
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(log.toPath())) {
            for (String word : words) {
                if (line.contains(word)) {
                    found.add(line);
                    break;
                }
            }
        }
        return found;
    }

    /** Returns the last lines of its log. */
    List<String> lastLines() throws IOException {
        List<String> lines = log.exists() ? Files.readAllLines(log.toPath()) : List.of();
        return lines.subList(Math.max(0, lines.size() - 5), lines.size());
    }

    /** Ends the process for good; a start after this fails. */
    @Override
    public void close() throws Exception {
        synchronized (lock) {
            closed = true;
        }
        if (process != null && process.isAlive()) {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        }
    }
}
