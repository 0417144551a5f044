import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that download large answers at the same time, after their node was killed once. */
public final class LargeAnswersAfterKill extends Case {
    private static final int CALLERS = 16;
    private static final int ANSWER_BYTES = 6_000_000;

    /** 4 Mbit/s for each caller: a whole answer takes 12 s. */
    private static final int BYTES_PER_MILLI = 500;

    private static final long DEADLINE_MILLIS = 40_000;
    private static final long IN_TOUCH_MILLIS = 4_000;
    private static final long MAX_LOST = 3;

    private final AtomicInteger mLost = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        new LargeAnswersAfterKill().go(arguments);
    }

    @Override
    boolean play() throws Exception {
        Store store = add(new Store());
        store.write("keyed.op", "config", config(1,
                route("pull", "/pull/", "safe", "vault", 2, "60s", "10s") + ","
                        + route("look", "/look/", "safe", "vault", 2, "4s", "1s"),
                "web", "vault"));
        int peerPort = Net.freePort("127.0.0.1");
        List<Server> servers = new ArrayList<>();
        List<Node> nodes = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            Server server =
                    add(new Server("i-" + i, i == 1 ? "web" : "vault", "127.0.1." + i, 13));
            server.work = (request, socket, out) -> {
                boolean large = request.first.contains("/pull/");
                Thread.sleep(large ? 100 : 5);
                Server.answer(out, request, new byte[large ? ANSWER_BYTES : 100]);
                return true;
            };
            Node node = add(new Node(
                    folder, "side-" + i, "z", server.host, peerPort, server, store, List.of()));
            node.start();
            server.beat(node.admin());
            servers.add(server);
            nodes.add(node);
        }
        Node entry = nodes.get(0);
        for (Node node : nodes) {
            await(node.name + " is ready", 20_000, node::ready);
        }
        await("a request is served", 10_000, () -> served(entry));
        try (Client client = new Client(entry.calls())) {
            Net.Message first = client.call("GET", "/pull/first", "first", DEADLINE_MILLIS);
            log("first download: " + first.status() + ", " + first.body.length + " bytes");
        }
        if (trouble) {
            entry.kill();
            log("side-1 is killed");
            entry.start();
            await("side-1 is ready again", 20_000, entry::ready);
            await("a request is served again", 10_000, () -> served(entry));
            log("side-1 serves again");
        }
        Thread.sleep(IN_TOUCH_MILLIS);
        CountDownLatch begin = new CountDownLatch(CALLERS);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Net.thread("caller-" + i, () -> download(entry, servers, number, begin)));
        }
        for (Thread caller : callers) {
            caller.join();
        }
        for (Node node : nodes) {
            log(node.name + ": running " + node.alive() + ", ready " + node.ready());
            node.logged("OutOfMemory", "AZ0858", "AZ0806", "AZ0841", "AZ0800")
                    .forEach(line -> log(node.name + ": "
                            + line.substring(0, Math.min(220, line.length()))));
        }
        log("LOST: " + mLost + " requests passed on and closed without their answer, "
                + MAX_LOST + " are allowed");
        return mLost.get() <= MAX_LOST;
    }

    private static boolean served(Node node) throws Exception {
        try (Client client = new Client(node.calls())) {
            Net.Message answer = client.call("GET", "/look/0", "w" + System.nanoTime(), 3_000);
            return answer != null && answer.status() == 200;
        }
    }

    /** Sends a request on a kept connection; one that is refused comes again twice. */
    private void download(Node entry, List<Server> servers, int number, CountDownLatch begin)
            throws Exception {
        for (int attempt = 1; attempt <= 3; attempt++) {
            String id = "pull-" + number + "." + attempt;
            try (Client client = new Client(entry.calls(), 65_536)) {
                client.call("GET", "/look/" + number, "look-" + number + "." + attempt, 3_000);
                begin.countDown();
                begin.await();
                long sent = System.nanoTime();
                client.send("GET", "/pull/" + number, id, DEADLINE_MILLIS, new byte[0]);
                int got = 0;
                int length = -1;
                String end = "connection closed";
                try {
                    Net.Message head = client.in.head();
                    if (head != null && head.status() != 200) {
                        log(id + ": " + head.first + ", Retry-After " + head.header("retry-after"));
                        String after = head.header("retry-after");
                        Thread.sleep(after == null ? 500 : (long) (1_000 * Double.parseDouble(after)));
                        continue;
                    }
                    length = head == null ? -1 : Integer.parseInt(head.header("content-length"));
                    got = read(client, length);
                } catch (java.io.IOException e) {
                    end = e.getMessage();
                }
                int runs = 0;
                for (Server server : servers) {
                    runs += server.runs.getOrDefault(id, 0);
                }
                boolean whole = got == length;
                if (!whole && runs > 0) {
                    mLost.incrementAndGet();
                }
                log(id + ": read " + got + " of " + length + " bytes, "
                        + (System.nanoTime() - sent) / 1_000_000 + " ms after it was sent, "
                        + (whole ? "whole" : end) + ", runs " + runs);
                return;
            }
        }
    }

    private static int read(Client client, int length) throws Exception {
        byte[] buffer = new byte[16_384];
        int got = 0;
        long begin = System.nanoTime();
        while (got < length) {
            int n = client.in.stream().read(buffer, 0, Math.min(buffer.length, length - got));
            if (n < 0) {
                break;
            }
            got += n;
            Thread.sleep(Math.max(
                    0, got / BYTES_PER_MILLI - (System.nanoTime() - begin) / 1_000_000));
        }
        return got;
    }
}
