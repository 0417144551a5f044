import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A tenant above its limit, while the nodes are stopped and started in turn. */
public final class QuotaInRollingStop extends Case {
    private static final int NODES = 4;
    private static final int CALLERS_A_NODE = 4;
    private static final double RATE = 200;
    private static final double BURST = 50;

    /** Over all nodes about 1,000 requests a second, five times the rate. */
    private static final long CALL_GAP_MILLIS = 14;

    private static final long GAP_MILLIS = 3_500;
    private static final int ROUNDS = 5;
    private static final long WINDOW_MILLIS = 5_000;
    private static final double OVER = 0.1;
    private static final double SLACK = 20;

    /** When each request was sent, and when it was run, in milliseconds. */
    private final Map<String, Long> mSent = new ConcurrentHashMap<>();
    private final Map<String, Long> mRun = new ConcurrentHashMap<>();

    private final Map<Integer, AtomicInteger> mStatuses = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        new QuotaInRollingStop().go(arguments);
    }

    @Override
    boolean play() throws Exception {
        Store store = add(new Store());
        String config = config(1, route("fetch", "/fetch/", "safe", "inbox", 2, "4s", "1s"),
                "web", "inbox");
        store.write("keyed.op", "config", config.substring(0, config.length() - 1)
                + ",\"tenants\":[{\"name\":\"clinic\",\"apiKeys\":[\"key-1\"],\"ratePerS\":" + RATE
                + ",\"burst\":" + BURST + "}]}");
        int peerPort = Net.freePort("127.0.0.1");
        List<Node> nodes = new ArrayList<>();
        for (int i = 1; i <= NODES; i++) {
            Server server =
                    add(new Server("i-" + i, i == 1 ? "web" : "inbox", "127.0.1." + i, 40));
            server.work = (request, socket, out) -> {
                mRun.put(request.header("x-request-id"), now());
                return Server.ok(request, socket, out);
            };
            Node node = add(new Node(folder, "side-" + i, "z" + i % 2, server.host, peerPort, server,
                    store, List.of("bounds.quotaWindow=5s", "bounds.quotaOver=" + OVER,
                            "bounds.quotaSlack=" + (int) SLACK)));
            node.start();
            server.beat(node.admin());
            nodes.add(node);
        }
        for (Node node : nodes) {
            await(node.name + " is ready", 20_000, node::ready);
        }
        AtomicBoolean over = new AtomicBoolean();
        for (Node node : nodes) {
            for (int i = 0; i < CALLERS_A_NODE; i++) {
                String caller = node.name + "." + i + ".";
                Net.thread("caller-" + caller, () -> press(node, caller, over));
            }
        }
        Thread.sleep(8_000);
        int before = worstWindow(true);
        for (int i = 0; i < ROUNDS * NODES; i++) {
            if (trouble) {
                restart(nodes.get(i % NODES));
            }
            Thread.sleep(GAP_MILLIS);
        }
        over.set(true);
        Thread.sleep(1_000);
        int worst = worstWindow(false);
        double limit = (RATE * WINDOW_MILLIS / 1_000 + BURST) * (1 + OVER) + SLACK;
        log("sent " + mSent.size() + ", run " + mRun.size() + ", answers by status " + mStatuses);
        log("most sent and run within 5 s before the stops: " + before);
        log("QUOTA: most sent and run within 5 s: " + worst + ", the limit is " + limit);
        return worst <= limit;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Stops a node with SIGTERM and starts it again once it has ended. */
    private void restart(Node node) {
        Net.thread("restart-" + node.name, () -> {
            synchronized (node) {
                log(node.name + ": SIGTERM");
                node.signal("TERM");
                node.awaitExit(8_000);
                log(node.name + ": ended with " + node.exitCode() + ", started again");
                node.start();
            }
        });
    }

    /** Sends requests one after the other; one that fails is not sent again. */
    private void press(Node node, String caller, AtomicBoolean over) throws Exception {
        int number = 0;
        while (!over.get()) {
            try (Client client = new Client(node.calls())) {
                while (!over.get()) {
                    String id = caller + number++;
                    mSent.put(id, now());
                    client.socket.getOutputStream().write(Net.ascii("GET /fetch/" + number
                            + " HTTP/1.1\r\nHost: shop.example\r\nX-Key: key-1\r\nX-Request-Id: "
                            + id + "\r\nX-Deadline-Ms: 4000\r\n\r\n"));
                    Net.Message answer = client.in.message();
                    if (answer == null) {
                        break;
                    }
                    mStatuses.computeIfAbsent(answer.status(), s -> new AtomicInteger())
                            .incrementAndGet();
                    Thread.sleep(CALL_GAP_MILLIS);
                    if ("close".equalsIgnoreCase(answer.header("connection"))) {
                        break;
                    }
                }
            } catch (java.io.IOException e) {
                Thread.sleep(50); // the node is down
            }
        }
    }

    /** Returns the most requests that were sent and run within one window, and logs the runs. */
    private int worstWindow(boolean quiet) {
        List<long[]> times = new ArrayList<>();
        mRun.forEach((id, run) -> times.add(new long[] {mSent.getOrDefault(id, run), run}));
        times.sort((a, b) -> Long.compare(a[1], b[1]));
        int worst = 0;
        long worstEnd = 0;
        for (int end = 0; end < times.size(); end++) {
            long from = times.get(end)[1] - WINDOW_MILLIS;
            int count = 0;
            for (int i = end; i >= 0 && times.get(i)[1] > from; i--) {
                count += times.get(i)[0] > from ? 1 : 0;
            }
            if (count > worst) {
                worst = count;
                worstEnd = times.get(end)[1];
            }
        }
        if (!quiet && !times.isEmpty()) {
            long first = times.get(0)[1];
            int[] seconds = new int[120];
            for (long[] time : times) {
                seconds[(int) Math.min(119, (time[1] - first) / 1_000)]++;
            }
            StringBuilder text = new StringBuilder();
            for (int i = 0; i <= Math.min(119, (times.get(times.size() - 1)[1] - first) / 1_000); i++) {
                text.append(' ').append(seconds[i]);
            }
            log("runs in each second:" + text);
            log("the worst window ends " + (worstEnd - first) + " ms after the first run");
        }
        return worst;
    }
}
