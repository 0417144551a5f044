import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A backend server of another service takes over an address, and calls through its node; three times
 * in turn, at different moments of the node's two seconds between looks at its settings.
 */
public final class CallerServiceAfterReuse extends Case {
    private static final String[] SERVICES = {"alerts", "notices"};
    private static final int REPLACEMENTS = 3;
    private static final long DRAIN_MILLIS = 2_500;
    private static final long REUSE_AFTER_MILLIS = 2_200;
    private static final int CALLS = 30;
    private static final long CALL_GAP_MILLIS = 75;
    private static final long PAUSE_MILLIS = 1_500;

    private final Map<String, String> mCallers = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        new CallerServiceAfterReuse().go(arguments);
    }

    @Override
    boolean play() throws Exception {
        Store store = add(new Store());
        store.write("keyed.op", "config", config(1,
                route("look", "/look/", "safe", "routes", 2, "4s", "1s"),
                SERVICES[0], SERVICES[1], "routes"));
        int peerPort = Net.freePort("127.0.0.1");
        Server first = add(new Server("i-0", SERVICES[0], "127.0.1.1", 6));
        Server called = add(new Server("i-called", "routes", "127.0.1.2", 6));
        called.work = (request, socket, out) -> {
            mCallers.put(request.header("x-request-id"),
                    String.valueOf(request.header("x-caller-service")));
            return Server.ok(request, socket, out);
        };
        Node node =
                add(new Node(folder, "side-1", "z", first.host, peerPort, first, store, List.of()));
        Node other = add(
                new Node(folder, "side-2", "z", called.host, peerPort, called, store, List.of()));
        node.start();
        other.start();
        first.beat(node.admin());
        called.beat(other.admin());
        await("the nodes are ready", 20_000, () -> node.ready() && other.ready());
        await("a request is served", 10_000, () -> call(node, "w" + System.nanoTime()) == 200);
        int wrong = 0;
        Server present = first;
        for (int i = 1; i <= REPLACEMENTS; i++) {
            if (trouble) {
                present = replace(node, present, i);
            }
            wrong += callAll(node, present.service, i);
            Thread.sleep(PAUSE_MILLIS);
        }
        node.logged("AZ0803", "AZ0830", "AZ0838").forEach(line -> log("side-1: " + line));
        log("UNASKED: " + wrong + " of " + REPLACEMENTS * CALLS
                + " requests run with an X-Caller-Service that isn't that of their machine");
        return wrong == 0;
    }

    /** Makes calls from the machine; returns how many were run with another service. */
    private int callAll(Node node, String expected, int round) throws Exception {
        int wrong = 0;
        for (int i = 0; i < CALLS; i++) {
            String id = "call-" + round + "." + i;
            int status = call(node, id);
            String caller = mCallers.get(id);
            wrong += caller != null && !caller.equals(expected) ? 1 : 0;
            log(id + ": " + status + ", run with X-Caller-Service " + caller);
            Thread.sleep(CALL_GAP_MILLIS);
        }
        return wrong;
    }

    /** One backend server drains and ends; after reuseAfter, one of another service has its address. */
    private Server replace(Node node, Server before, int number) throws Exception {
        String service = SERVICES[number % SERVICES.length];
        before.state = "draining";
        log(before.id + " reports draining: " + before.report(node.admin()));
        Thread.sleep(DRAIN_MILLIS);
        before.stopBeating();
        log(before.id + " deregisters: " + Client.once(node.admin(), "DELETE",
                "/instances/" + before.id, "{\"born\":" + before.born + "}"));
        before.kill();
        Thread.sleep(REUSE_AFTER_MILLIS);
        Path settings = folder.resolve("side-1.conf");
        Path written = folder.resolve("side-1.conf.new");
        Files.writeString(written, Files.readString(settings)
                .replace("\nservice=" + before.service, "\nservice=" + service));
        Files.move(written, settings, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        node.signal("HUP");
        log("the settings file names service " + service + ", SIGHUP is sent");
        Server next = add(Server.at("i-" + number, service, before.address(), 6));
        log(next.id + " of " + service + " reports ready: " + next.report(node.admin()));
        next.beat(node.admin());
        return next;
    }

    private static int call(Node node, String id) throws Exception {
        try (Client client = new Client(node.calls())) {
            Net.Message answer = client.call("GET", "/look/" + id, id, 3_000);
            return answer == null ? 0 : answer.status();
        }
    }
}
