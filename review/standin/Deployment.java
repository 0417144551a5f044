import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, nodes and backend servers. */
final class Deployment implements AutoCloseable {
    static final String HOST = "shop.example";

    /** The exit status of a process that saw the rule broken; run.sh turns it into 1. */
    static final int BROKEN = 10;

    final Record mRecord;
    final Store mStore = new Store();
    final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path mRoot;
    private final Path mFolder;
    private final int[] mPorts;
    private final long mBeatMillis;
    private final List<AutoCloseable> mParts = new ArrayList<>();
    private final List<Node> mNodes = new ArrayList<>();

    /**
     * Creates a deployment without nodes.
     *
     * @param caseFolder the folder of the case, which record.txt is written to
     */
    Deployment(Path caseFolder, int machines, long beatMillis) throws IOException {
        mRecord = new Record(caseFolder.resolve("record.txt"));
        mRoot = caseFolder.toAbsolutePath().getParent().getParent();
        mFolder = Files.createTempDirectory("azurearch-review");
        mBeatMillis = beatMillis;
        String[] hosts = new String[machines];
        for (int i = 0; i < machines; i++) {
            hosts[i] = host(i);
        }
        mPorts = Node.freePorts(6, hosts);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        mRecord.line("trouble=%s machines=%d heartbeat=%dms", mTrouble, machines, beatMillis);
    }

    /** Returns the loopback address of a machine. */
    static String host(int machine) {
        return "127.0.0." + (11 + machine);
    }

    /** Adds a node beside the backend server of a service; it does not run yet. */
    Node addNode(int machine, String zone, String service) throws IOException {
        Node node =
                new Node(
                        mRoot,
                        mFolder,
                        "sidecar-" + zone + "-" + machine,
                        host(machine),
                        mPorts,
                        zone,
                        service,
                        mStore.address(),
                        mBeatMillis);
        mParts.add(node);
        mNodes.add(node);
        return node;
    }

    /** Starts a run of the backend server behind a node, without heartbeats yet. */
    Backend addBackend(
            Node node, String name, String service, String instance, int slots,
            Backend.Behaviour behaviour)
            throws IOException {
        Backend backend =
                new Backend(
                        mRecord,
                        name,
                        service,
                        instance,
                        node.host(),
                        node.backendPort(),
                        slots,
                        node.admin(),
                        mBeatMillis,
                        behaviour);
        mParts.add(backend);
        return backend;
    }

    /** Writes a configuration with the given rules and services, as the operator does. */
    void publish(long version, String rules, String... services) {
        StringBuilder clusters = new StringBuilder();
        for (String service : services) {
            clusters.append(clusters.length() == 0 ? "" : ",")
                    .append(
                            String.format(
                                    "{\"name\":\"%s\",\"healthPath\":\"%s\",\"maxConnections\":120,"
                                            + "\"protocol\":\"h1\",\"tls\":false}",
                                    service, Backend.HEALTH_PATH));
        }
        mStore.write(
                "keyed.op",
                "config",
                String.format(
                        Locale.ROOT,
                        "{\"version\":\"%08x\",\"limits\":{\"maxHeaderBytes\":16384,"
                                + "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
                                + "\"idleTimeout\":\"15000ms\"},\"listeners\":[{\"host\":\"%s\","
                                + "\"rules\":[%s]}],\"clusters\":[%s]}",
                        version, HOST, rules, clusters));
        mRecord.line("configuration %d acknowledged by the store", version);
    }

    static String rule(
            String name, String type, String prefix, String service, long targetMillis,
            long timeoutMillis, int attempts) {
        return String.format(
                Locale.ROOT,
                "{\"name\":\"%s\",\"routeType\":\"%s\",\"targetLatency\":\"%dms\",\"priority\":1,"
                        + "\"match\":{\"pathPrefix\":\"%s\"},\"action\":{\"service\":\"%s\","
                        + "\"timeout\":\"%dms\",\"maxAttempts\":%d}}",
                name, type, targetMillis, prefix, service, timeoutMillis, attempts);
    }

    /** Waits for a condition; ends the case as one that could not run after 30 seconds. */
    void await(String what, BooleanSupplier condition) {
        long until = System.nanoTime() + 30_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException("gave up waiting: " + what);
            }
            Backend.sleep(50);
        }
        mRecord.line("%s", what);
    }

    /** Copies the log lines of the nodes that contain a text to the record. */
    void copyLog(String... texts) throws IOException {
        for (Node node : mNodes) {
            if (!Files.exists(node.log())) {
                continue;
            }
            try (Stream<String> lines = Files.lines(node.log())) {
                lines.filter(line -> Stream.of(texts).anyMatch(line::contains))
                        .limit(60)
                        .forEach(
                                line ->
                                        mRecord.line(
                                                "log of %s: %s",
                                                node.log().getFileName().toString(), line));
            }
        }
    }

    /** Ends the nodes, also if this process is ended by a signal. */
    private void endProcesses() {
        for (Node node : List.copyOf(mNodes)) {
            node.kill();
        }
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable part : mParts) {
            part.close();
        }
        mStore.close();
        mRecord.close();
        if (System.getenv("KEEP") != null) {
            System.err.println(mFolder);
            return;
        }
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
