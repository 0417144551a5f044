import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A node as a process, started by the line `run` of the deploy file with a settings file. */
final class Node implements AutoCloseable {
    private final Path mRoot;
    private final Path mFolder;
    private final Path mSettings;
    private final List<String> mLines = new ArrayList<>();
    private final String mName;
    private final String mHost;
    private final int[] mPorts;
    private Process mProcess;

    /**
     * Writes the settings of a node that does not run yet.
     *
     * @param host the loopback address of its machine
     * @param ports the ports of calls, readiness, heartbeats, backend server and peers
     */
    Node(
            Path root,
            Path folder,
            String name,
            String host,
            int[] ports,
            String zone,
            String service,
            String store,
            long beatMillis)
            throws IOException {
        mRoot = root;
        mFolder = folder;
        mName = name;
        mHost = host;
        mPorts = ports;
        mSettings = folder.resolve(name + ".conf");
        mLines.addAll(
                List.of(
                        "nodeId=" + name,
                        "role=sidecar",
                        "machineClass=sidecar",
                        "serves=sidecar",
                        "ip=" + host,
                        "zone=" + zone,
                        "region=r",
                        "zones." + zone + "=r",
                        "listen.inbound=" + host + ":" + ports[5],
                        "listen.outbound=" + host + ":" + ports[0],
                        "listen.ready=" + host + ":" + ports[1],
                        "listen.admin=" + host + ":" + ports[2],
                        "internalPortRange=" + ports[4] + "," + ports[4],
                        "seeds=",
                        "bootstrap=true",
                        "lossCounted=false",
                        "limits.cpuShare=0.6",
                        "limits.cores=1",
                        "limits.memoryMb=430",
                        "limits.maxFds=4100",
                        "limits.linkMbps=1000.0",
                        "limits.diskMb=0",
                        "discovery=static",
                        "entry=static",
                        "heartbeat=" + beatMillis + "ms",
                        "contracts=base,drain,config,cost,retry,recover,platform",
                        "faultTolerance.machines=2",
                        "faultTolerance.zones=1",
                        "faultTolerance.regions=0",
                        "bounds.seedLag=3s",
                        "bounds.reuseAfter=2s",
                        "bounds.stabilityWindow=3000ms",
                        "bounds.ack=4000ms",
                        "bounds.catchUp=4s",
                        "bounds.drain=2000ms",
                        "bounds.grace=6s",
                        "bounds.lossSlack=200ms",
                        "bounds.configApply=2000ms",
                        "bounds.rollbackSlack=250ms",
                        "bounds.maxSkew=5000ms",
                        "bounds.retryBudgetRatio=0.2",
                        "bounds.budgetWindow=10s",
                        "bounds.budgetSlack=60",
                        "bounds.recovery=15s",
                        "appAddr=" + host + ":" + ports[3],
                        "service=" + service,
                        "platform.address=" + store,
                        "platform.form=log",
                        "platform.writesPerS=400",
                        "platform.readsPerS=2000"));
        writeSettings();
    }

    /** Replaces a line of the settings file. */
    void set(String key, String value) throws IOException {
        mLines.removeIf(line -> line.startsWith(key + "="));
        mLines.add(key + "=" + value);
        writeSettings();
    }

    private void writeSettings() throws IOException {
        Path next = mFolder.resolve(mName + ".next");
        Files.write(next, mLines);
        Files.move(next, mSettings, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    String host() {
        return mHost;
    }

    String calls() {
        return mHost + ":" + mPorts[0];
    }

    String admin() {
        return mHost + ":" + mPorts[2];
    }

    int backendPort() {
        return mPorts[3];
    }

    /** Starts the process with the command of the deploy file, in the repository root. */
    void start() throws IOException {
        String deploy = Files.readString(mRoot.resolve("deploy/system.toml"));
        Matcher run =
                Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(
                        deploy.substring(deploy.indexOf("[roles.sidecar]")));
        if (!run.find()) {
            throw new IOException("the deploy file has no line run");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.directory(mRoot.toFile());
        builder.environment().put("AZUREARCH_CONFIG", mSettings.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        mProcess = builder.start();
    }

    Path log() {
        return mFolder.resolve(mName + ".log");
    }

    boolean alive() {
        return mProcess.isAlive();
    }

    int exitStatus() {
        return mProcess.exitValue();
    }

    /** Sends a signal by its name. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    boolean ready() {
        return Client.simple(mHost + ":" + mPorts[1], "GET", "/readyz", "") == 200;
    }

    /** Kills the process if it runs. */
    void kill() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }

    @Override
    public void close() throws InterruptedException {
        kill();
        if (mProcess != null) {
            mProcess.waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Returns ports that are free on all given loopback addresses, below the ephemeral range. */
    static int[] freePorts(int count, String... hosts) {
        java.util.SplittableRandom random = new java.util.SplittableRandom();
        int[] ports = new int[count];
        int found = 0;
        while (found < count) {
            int port = random.nextInt(20_000, 32_000);
            boolean free = true;
            for (int i = 0; i < found; i++) {
                free &= ports[i] != port;
            }
            for (String host : hosts) {
                try (ServerSocket socket =
                        new ServerSocket(port, 1, InetAddress.getByName(host))) {
                    free &= socket.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                ports[found++] = port;
            }
        }
        return ports;
    }
}
