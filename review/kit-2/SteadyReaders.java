import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that read large answers steadily, after a configuration has lowered idleTimeout. */
public final class SteadyReaders extends Case {
    private static final int CALLERS = 6;
    private static final int ANSWER_BYTES = 6_000_000;

    /** 4 Mbit/s: a whole answer takes 12 s, less than the first idleTimeout of 15 s. */
    private static final int BYTES_PER_MILLI = 500;

    private static final int WINDOW_BYTES = 65_536;
    private static final long DEADLINE_MILLIS = 40_000;
    private static final long MAX_LOST = 3;
    private static final String OLD_IDLE = "\"idleTimeout\":\"15000ms\"";
    private static final String NEW_IDLE = "\"idleTimeout\":\"3000ms\"";

    private final AtomicInteger mLost = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        new SteadyReaders().go(arguments);
    }

    @Override
    boolean play() throws Exception {
        Store store = add(new Store());
        String rules = route("pull", "/pull/", "safe", "vault", 2, "60s", "5s");
        store.write("keyed.op", "config", config(1, rules, "web", "vault"));
        int peerPort = Net.freePort("127.0.0.1");
        Server web = add(new Server("i-web", "web", "127.0.1.1", 13));
        Server vault = add(new Server("i-vault", "vault", "127.0.1.2", 13));
        vault.work = (request, socket, out) -> {
            boolean large = request.first.contains("/large/");
            Server.answer(out, request, new byte[large ? ANSWER_BYTES : 100]);
            return true;
        };
        Node entry = add(new Node(folder, "side-1", "z", web.host, peerPort, web, store, List.of()));
        Node other =
                add(new Node(folder, "side-2", "z", vault.host, peerPort, vault, store, List.of()));
        entry.start();
        other.start();
        web.beat(entry.admin());
        vault.beat(other.admin());
        await("the nodes are ready", 20_000, () -> entry.ready() && other.ready());
        await("a request is served", 10_000, () -> served(entry));
        if (trouble) {
            String lowered = config(2, rules, "web", "vault").replace(OLD_IDLE, NEW_IDLE);
            store.write("keyed.op", "config", lowered);
            log("configuration 2 is acknowledged: idleTimeout 3000ms in place of 15000ms");
        }
        Thread.sleep(5_000);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Net.thread("caller-" + i, () -> read(entry, vault, number)));
        }
        for (Thread caller : callers) {
            caller.join();
        }
        entry.logged("AZ0858", "AZ0820", "OutOfMemory").forEach(line -> log("side-1: " + line));
        log("LOST: " + mLost + " requests passed on and closed without their answer, "
                + MAX_LOST + " are allowed");
        return mLost.get() <= MAX_LOST;
    }

    private static boolean served(Node node) throws Exception {
        try (Client client = new Client(node.calls())) {
            Net.Message answer = client.call("GET", "/pull/small/0", "w" + System.nanoTime(), 3_000);
            return answer != null && answer.status() == 200;
        }
    }

    /** Sends two requests on one connection and reads the second answer at a steady rate. */
    private void read(Node entry, Server vault, int number) throws Exception {
        String id = "large-" + number;
        try (Client client = new Client(entry.calls(), WINDOW_BYTES)) {
            client.call("GET", "/pull/small/" + number, "small-" + number, 3_000);
            client.send("GET", "/pull/large/" + number, id, DEADLINE_MILLIS, new byte[0]);
            Net.Message head = client.in.head();
            int length = head == null ? 0 : Integer.parseInt(head.header("content-length"));
            if (head == null || head.status() != 200) {
                log(id + ": " + (head == null ? "closed" : head.first));
                return;
            }
            long begin = System.nanoTime();
            int got = 0;
            long longestMillis = 0;
            byte[] buffer = new byte[8_192];
            String end = "connection closed";
            try {
                while (got < length) {
                    long before = System.nanoTime();
                    int n = client.in.stream().read(buffer, 0, Math.min(buffer.length, length - got));
                    if (n < 0) {
                        break;
                    }
                    got += n;
                    long elapsed = (System.nanoTime() - begin) / 1_000_000;
                    Thread.sleep(Math.max(0, got / BYTES_PER_MILLI - elapsed));
                    longestMillis = Math.max(longestMillis, (System.nanoTime() - before) / 1_000_000);
                }
            } catch (java.io.IOException e) {
                end = e.getMessage();
            }
            long millis = (System.nanoTime() - begin) / 1_000_000;
            boolean whole = got == length;
            if (!whole && vault.runs.containsKey(id)) {
                mLost.incrementAndGet();
            }
            log(id + ": 200, read " + got + " of " + length + " bytes in " + millis
                    + " ms, longest pause between reads " + longestMillis + " ms, "
                    + (whole ? "whole" : end) + ", runs " + vault.runs.get(id));
        }
    }
}
